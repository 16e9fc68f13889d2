Feature: The platform's service comes back from an older copy

  What was written after the copy is lost, and its revisions and lease numbers
  are given out again. The era in every answer of the service rises by one.

  Scenario: the emulated service gives revisions and leases out again
    Given an emulated service
    When a key is written and a lease is granted
    And the service comes back from a copy from before
    Then the next key and the next lease get the same numbers in era 2

  Scenario: the emulated service refuses a watch from a revision that it lost
    Given an emulated service
    When a key is written and a lease is granted
    And the service comes back from a copy from before
    Then a watch from the lost revision is refused
    When the service has grown past the lost revision
    Then a watch from the lost revision reports later keys

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

  Scenario: the return from an older copy is logged with both revisions
    Given an emulated service
    And a host's client of the service
    When a key is written and a lease is granted
    And the client reads the service before and after its return from a copy
    Then the client has logged era 2 with the lost revision and the new one

  Scenario: a silent watch of a lost era is ended by the answer to another call
    Given an emulated service
    And a host's client of the service
    When the client watches the service
    And the service comes back from a copy of its newest state
    And the client reads the service
    Then the watch has expired

  Scenario: a silent watch is ended by the first return of a service of era 0
    Given an emulated service
    And the service is of era 0
    And a host's client of the service
    When the client watches the service
    And the service comes back from a copy of its newest state
    And the client reads the service
    Then the watch has expired

  Scenario: a watch is not continued in an era in which its revision means another change
    Given an emulated service
    And a host's client of the service
    When the client watches the service
    And the watch is broken while the service comes back from a copy
    And the client reads the service
    And the client watches the service
    Then the watch has expired

  Scenario Outline: an answer of another era is not applied
    Given a service whose answers are of the eras <eras>
    Then <call> of the client fails with "<code>"

    Examples:
      | eras  | call           | code                 |
      | 2 1   | a second read  | platform-answer-lost |
      | 2 1   | a second write | platform-answer-lost |
      | 1 2   | a paged read   | era-changed          |

  Scenario: the changes in a watch's answer of a new era are not applied
    Given a service whose answers are of the eras 1 2
    When the client watches the service
    Then the watch has expired without a change

  Scenario Outline: a condition of a lost era is not taken for one of the new era
    Given an emulated service
    And a host's client of the service
    When the client writes a key with a lease
    And the service gives out the same revision and lease to others
    Then the client's <call> fails, as the era has changed
    When the client reads the service
    Then the client's <call> fails and nothing is sent

    Examples:
      | call    |
      | write   |
      | delete  |
      | renewal |

  Scenario: a configuration acknowledged after the return is in force on every host
    Given an emulated deployment of 2 hosts
    When the service loses a configuration by its return from a copy
    And the configuration has only the databases "filings" and "extra"
    Then a caller of "extra" is eventually served at host 0
    And a caller of "extra" is eventually served at host 1

  Scenario: a claim that the service loses by its return from a copy is written again
    Given an emulated deployment of 2 hosts
    When the service loses a claim by its return from a copy
    Then the service eventually holds the claim again

  Scenario: hosts learn of a member that leaves after the return
    Given an emulated deployment of 2 hosts
    When the service loses changes of members by its return from a copy
    And a replica announces that it will stop
    Then every host eventually knows that the replica leaves

Feature: Entries of other writers among those of members and hosts

  Another writer may leave any bytes under any key. Such an entry names
  nobody, and the entries beside it are followed. The entries are generated
  from a fixed seed.

  Scenario: an item of the service that can't be read ends the read of the others
    Given a service whose first item has no value
    Then the store client reads the other items

  Scenario: an unexpected error in a read leaves the host without a watch
    Given a service that lists member "m1"
    And a host that has read the service
    When a read of the service fails with an unexpected error
    Then the host eventually follows the service again

Feature: Entries of other writers among those of members and hosts

  Another writer may leave any bytes under any key. Such an entry names
  nobody, and the entries beside it are followed. The entries are generated
  from a fixed seed.

  Scenario: a host stops following the others for a generated entry
    Given a service that lists generated entries beside good ones
    Then a host reads, follows and removes the good entries every time
    And it has logged no unexpected error

  Scenario Outline: an odd entry of a member is used
    Given an entry of a member with <oddity>
    Then the entry is refused

    Examples:
      | oddity                                 |
      | 100000 nested lists                    |
      | a port of 70000                        |
      | a port of 0                            |
      | a port with digits of another script   |
      | a sequence of 300 digits               |
      | a start of 300 digits                  |
      | a sequence below 0                     |
      | an address with a label of 64 letters  |
      | an address with an empty label         |
      | an address with a line break           |
      | an address without a host              |
      | a service with a blank                 |
      | a service with a line break            |
      | an id with a blank                     |
      | an id with a line break                |

  Scenario Outline: an odd entry of a host or claim is used
    Given an entry of a <kind> with <oddity>
    Then the entry is refused

    Examples:
      | kind  | oddity                  |
      | host  | 100000 nested lists     |
      | host  | a port of 70000         |
      | host  | a port of 1e400         |
      | host  | a capacity of 400 digits |
      | host  | an address with a label of 64 letters |
      | claim | 100000 nested lists     |
      | claim | a round of 1e400        |
      | claim | a round of 300 digits   |

  Scenario: a connection to an address that can't be encoded ends its caller
    Given a member whose address has a label of 64 letters
    When a host dials the member
    Then the dial fails as unreachable

  Scenario: an item of the service that can't be read ends the read of the others
    Given a service whose first item has no value
    Then the store client reads the other items

  Scenario: an unexpected error in a read leaves the host without a watch
    Given a service that lists member "m1"
    And a host that has read the service
    When a read of the service fails with an unexpected error
    Then the host eventually follows the service again

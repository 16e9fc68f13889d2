Feature: Members' entries that are older than what is known

  Each start of a member counts its entries. A service that comes back from an
  older copy lists entries from before.

  Scenario Outline: an entry is compared with the known entry of its member
    Given a member whose entry 5 of start 100 was read in era 1
    Then its entry <entry> of start <start> in era <era> is <verdict>

    Examples:
      | entry | start | era | verdict  |
      | 4     | 100   | 2   | outdated |
      | 5     | 100   | 2   | accepted |
      | 6     | 100   | 2   | accepted |
      | 1     | 200   | 2   | accepted |
      | 4     | 100   | 1   | accepted |

  Scenario Outline: an entry is compared with the last entry of a member that left
    Given a member whose entry 5 of start 100 was read in era 1
    When the entry is absent in era <absent>
    Then its entry <entry> of start <start> in era <era> is <verdict>

    Examples:
      | absent | entry | start | era | verdict  |
      | 1      | 5     | 100   | 2   | outdated |
      | 1      | 6     | 100   | 2   | accepted |
      | 1      | 1     | 200   | 2   | accepted |
      | 1      | 1     | 100   | 1   | accepted |
      | 2      | 4     | 100   | 2   | outdated |
      | 2      | 5     | 100   | 2   | accepted |

  Scenario: an outdated entry does not make a later one newer
    Given a member whose entry 5 of start 100 was read in era 1
    Then its entry 3 of start 100 in era 2 is outdated
    And its entry 4 of start 100 in era 2 is outdated
    And its entry 6 of start 100 in era 2 is accepted
    And its entry 5 of start 100 in era 3 is outdated

  Scenario: only the members that left last are remembered
    Given a member whose entry 5 of start 100 was read in era 1
    When the entry is absent in era 1
    And as many other members leave as are remembered
    Then its entry 5 of start 100 in era 2 is accepted

  Scenario: an entry of an earlier start does not replace the one of a later start
    Given a member whose entry 5 of start 200 was read in era 1
    Then its entry 1 of start 100 in era 1 is accepted
    And its entry 50 of start 200 in era 2 is outdated
    And its entry 1 of start 100 in era 2 is accepted
    And its entry 1 of start 300 in era 2 is accepted
    And its entry 2 of start 100 in era 2 is accepted
    And its entry 9 of start 300 in era 3 is outdated

  Scenario: an entry of an earlier start does not bring back a member that has left
    Given a member whose entry 5 of start 100 was read in era 1
    Then its entry 1 of start 200 in era 1 is accepted
    When the entry is absent in era 1
    Then its entry 5 of start 100 in era 2 is outdated

  Scenario: members that are missing after a return don't push out those that left
    Given a member whose entry 5 of start 100 was read in era 1
    When the entry is absent in era 1
    And as many other members as are remembered are missing in era 2
    Then its entry 5 of start 100 in era 2 is outdated

Feature: Choice of poolers by rendezvous hashing over the live hosts

  Scenario: The loss of a host moves only the members that it pooled
    Given 8 live hosts in each of the zones a, b, c
    When the host that pools the most members of zone a is removed
    Then only the members of the removed hosts have another pooler
    And the members of zone a are pooled in the zones a

  Scenario: A zone without hosts is pooled by the hosts of its region
    Given 8 live hosts in each of the zones a, b, c
    When every host of zone a is removed
    Then the members of zone a are pooled in the zones b, c
    And the members of zone b are pooled in the zones b

  Scenario Outline: Members are distributed evenly over the hosts
    Given <hosts> live hosts in each of the zones a
    Then no host of zone a pools more than 1.5 times its share
    And the owner of a key is the host that is ranked first

    Examples:
      | hosts |
      | 2     |
      | 8     |
      | 62    |

  Scenario: A refutation alone does not change the view of the live hosts
    Given 8 live hosts in each of the zones a, b, c
    When a live host of zone a refutes a suspicion that no other host knows
    Then the view of the live hosts is the same object as before

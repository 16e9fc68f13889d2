Feature: Poolers by rendezvous hashing over the live hosts

  Scenario: A host that goes moves its own members alone
    Given 8 live hosts in each of the zones a, b, c
    When the host that pools the most members of zone a goes
    Then only the members of the hosts that went have moved
    And the members of zone a are pooled in the zones a

  Scenario: A zone without hosts is pooled by its region
    Given 8 live hosts in each of the zones a, b, c
    When every host of zone a goes
    Then the members of zone a are pooled in the zones b, c
    And the members of zone b are pooled in the zones b

  Scenario Outline: Members spread evenly over the hosts
    Given <hosts> live hosts in each of the zones a
    Then no host of zone a pools more than 1.5 times its share
    And the owner of a key is the first of its ranked hosts

    Examples:
      | hosts |
      | 2     |
      | 8     |
      | 62    |

  Scenario: A refutation alone changes no pooler
    Given 8 live hosts in each of the zones a, b, c
    When a live host of zone a refutes a verdict that nobody has seen
    Then the view of the live hosts is the same one as before

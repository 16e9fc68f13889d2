Feature: Who changes a primary

  Scenario: one host alone that misses the primary changes nothing
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host misses a member of zone "a" and "a2 a3 b1 b2 b3 c2" reach it
    Then the member does not count as lost

  Scenario: most hosts miss the primary
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host misses a member of zone "a" with "b1 b2 b3 c2" and "a2" reaches it
    Then the member counts as lost

  Scenario: a zone is cut off with its primary while another host restarts
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host misses a member of zone "b" with "a2 a3 c2" and nobody else answers
    Then the member counts as lost

  Scenario: the zone that is cut off never acts while the service is out
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    And no claim can be made
    When a host misses a member of zone "c" with "b2 b3" and nobody else answers
    Then the member does not count as lost

  Scenario: the larger side acts while the service is out
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    And no claim can be made
    When a host misses a member of zone "b" with "a2 a3 c1 c2" and nobody else answers
    Then the member counts as lost

  Scenario: a side that sees one member of three may not choose
    Given hosts "a1 b1 c1" by zone
    Then a side with 1 of 3 members and answers of "b1" may not choose
    And a side with 2 of 3 members and answers of "" may choose
    And a side with 1 of 3 members and answers of "b1 c1" may choose

  Scenario: the log that goes furthest leads, a leaving member last
    Given a group of "x y z"
    When "y" has received 3.40 and "z" has received 3.41
    Then "z" is chosen
    When "y" has received 3.41 and "z" has received 3.41 but leaves
    Then "y" is chosen

  Scenario: a round that was used without the service is not claimed again
    Given two hosts that know round 1 of a group
    When the first changes the group alone and publishes its round
    Then the second can't claim round 2 with what it knew

  Scenario: a claim that came while a host decided stops its own
    Given two hosts that know round 1 of a group
    When the second decides after round 1 and then sees the first's claim
    Then the second's claim is refused

  Scenario: no two holders share a fencing token
    Then tokens of 200 rounds and 50 holders are all different and rise

  Scenario Outline: a commit that replicas confirmed is in the next log
    Then with <sync> of 2 replicas confirming, <answering> that answer <verdict>

    Examples:
      | sync | answering | verdict         |
      | 0    | 1         | are enough      |
      | 1    | 1         | are not enough  |
      | 1    | 2         | are enough      |
      | 2    | 1         | are enough      |

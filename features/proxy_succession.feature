Feature: Failover decisions

  Scenario: a primary that only one host has lost is kept
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host has lost a member of zone "a" and "a2 a3 b1 b2 b3 c2" reach it
    Then there is no loss quorum for the member

  Scenario: a primary that most hosts have lost is replaced
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host has lost a member of zone "a" with "b1 b2 b3 c2" and "a2" reaches it
    Then there is a loss quorum for the member

  Scenario: a primary in a partitioned zone is replaced while another host restarts
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    When a host has lost a member of zone "b" with "a2 a3 c2" and no other host answers
    Then there is a loss quorum for the member

  Scenario: a partitioned zone does not act while the service is unavailable
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    And the platform's service is unavailable
    When a host has lost a member of zone "c" with "b2 b3" and no other host answers
    Then there is no loss quorum for the member

  Scenario: the majority side acts while the service is unavailable
    Given hosts "a1 a2 a3 b1 b2 b3 c1 c2" by zone
    And the platform's service is unavailable
    When a host has lost a member of zone "b" with "a2 a3 c1 c2" and no other host answers
    Then there is a loss quorum for the member

  Scenario: a side with a minority of the members may choose only if every host answers
    Given hosts "a1 b1 c1" by zone
    Then a side with 1 of 3 members and answers of "b1" may not choose
    And a side with 2 of 3 members and answers of "" may choose
    And a side with 1 of 3 members and answers of "b1 c1" may choose

  Scenario: the member with the longest log is promoted, a leaving one last
    Given a group of "x y z"
    When "y" has received 3.40 and "z" has received 3.41
    Then "z" is chosen
    When "y" has received 3.41 and "z" has received 3.41 but leaves
    Then "y" is chosen

  Scenario: a round that was used without the service is not claimed again
    Given two hosts that know round 1 of a group
    When the first host uses round 2 without the service and then publishes it
    Then the second host cannot claim round 2 after round 1

  Scenario: a round that is used while another one is written is not forgotten
    Given two hosts that know round 1 of a group
    When the first host uses round 3 while it writes round 2
    Then the first host knows round 3 and writes it as well

  Scenario: a host recognizes its claim after the answer was lost
    Given two hosts that know round 1 of a group
    When the answer to the next claim is lost after the claim took effect
    Then the first host holds round 2
    And the second host cannot claim round 2 after round 1

  Scenario: a claim that did not take effect is not taken for one that did
    Given two hosts that know round 1 of a group
    When the answer to the next claim is lost before the claim took effect
    Then the first host does not know whether it holds round 2

  Scenario: a host does not take the claim of another host for its own
    Given two hosts that know round 1 of a group
    When the second host claims round 2 and the answer to the next claim is lost
    Then the first host does not know whether it holds round 2

  Scenario: a host does not rely on its own claim in a later era of the service
    Given two hosts that know round 1 of a group
    When the answer to the next claim is lost and the service comes back from a copy
    Then the first host does not know whether it holds round 2

  Scenario: a host does not claim by a revision of a lost era
    Given two hosts that know round 1 of a group
    When the service comes back from a copy of its state
    Then the first host cannot claim round 2, as the era has changed

  Scenario Outline: a round that the service has lost is written again by one host
    Given two hosts that know a round which the service has lost <claim>
    When the first host in rank writes the claim again
    Then the service holds round 2 after a single write
    And the second host claims round 3 and not round 2

    Examples:
      | claim       |
      | to round 1  |
      | with its key |

  Scenario: a round that the service has lost is written again by the next host
    Given two hosts that know a round which the service has lost to round 1
    When the first host in rank does not write the claim again
    Then the service holds round 2 after a single write

  Scenario Outline: a claim by a host that does not know a lost round is not overruled
    Given two hosts that know a round which the service has lost <claim>
    When a host that has started since claims the round after the stored one
    Then the second host learns of a new change
    And the second host cannot claim round 3 after its decision

    Examples:
      | claim        |
      | to round 1   |
      | with its key |

  Scenario: a host cannot claim if another host has claimed since its decision
    Given two hosts that know round 1 of a group
    When the second host decides after round 1 and then learns of the first host's claim
    Then the second host's claim is refused

  Scenario: fencing tokens are unique and increase with the era and the round
    Then the tokens of 200 rounds and 50 holders are unique and increase

  Scenario Outline: the answering replicas include one with every commit
    Then with <sync> of 2 replicas confirming, <answering> that answer <verdict>

    Examples:
      | sync | answering | verdict         |
      | 0    | 1         | are enough      |
      | 1    | 1         | are not enough  |
      | 1    | 2         | are enough      |
      | 2    | 1         | are enough      |

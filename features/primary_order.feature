Feature: One order for a lost primary while the service is unavailable

  Hosts can't see each other's claims then. Two orders with different targets
  would change the primary twice.

  Scenario Outline: the second host orders nothing while the first order is carried out
    Given two hosts that have lost a primary and the service, <link>
    When both start a failover and a promotion takes 700 ms
    Then the first host in rank has ordered a promotion at once
    And the other host has ordered none

    Examples:
      | link                            |
      | and reach each other            |
      | and lose each other's messages  |

  Scenario: a host learns of an order before its own turn
    Given two hosts that have lost a primary and the service, and reach each other
    When both start a failover and a promotion takes 5000 ms
    Then the other host has ordered none
    And the other host's requests wait for the change

  Scenario: a host does not wait for an order of a host that has stopped
    Given two hosts that have lost a primary and the service, and the first has stopped
    When the other host starts a failover
    Then it has ordered a promotion after the delay of one rank

  # Guards against two hosts that order in turn while the member that the first
  # one has promoted is cut off (ONE).
  Scenario: hosts do not order in turn while a promoted member is cut off
    Given two hosts that have lost a primary, and a member that is cut off once it is promoted
    When both look for a primary for 20 s
    Then each host has ordered a promotion
    And no host orders within 3 s of its last order if another one has ordered since

  # Guards against a repeated order that crosses the claim of another host, of
  # which its holder has not heard yet (ONE).
  Scenario Outline: a host repeats no order once another host has claimed
    Given two hosts that know round 1 of a group
    When <wait> ms pass and the second host <claims> round 2
    And the first host repeats its order of round 1
    Then the service has got <orders> orders after <writes> writes of a claim

    Examples:
      | wait | claims         | orders | writes |
      | 1200 | claims         | 0      | 1      |
      | 1200 | does not claim | 1      | 1      |
      | 300  | does not claim | 1      | 0      |

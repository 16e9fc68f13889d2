Feature: Relief of an overloaded primary whose replicas all lag

  Load pattern: the replicas receive the log but apply it seconds late. Every
  read goes to the primary, whose slots do not suffice for them.

  Scenario: an overloaded primary is relieved if every replica lags
    Given a group whose replicas refuse reads for a lag of 2200 ms
    When the primary refuses work for 1000 ms
    Then the primary is to be relieved

  Scenario Outline: a primary is kept
    Given a group whose replicas refuse reads for a lag of <lag> ms
    When the primary refuses work for <overload> ms
    And <event>
    Then the primary is kept

    Examples:
      | lag  | overload | event                          |
      | 2200 | 300      | no time passes                 |
      | 2200 | 1000     | 1000 ms pass without a refusal |
      | 200  | 1000     | no time passes                 |
      | 2200 | 1000     | one replica holds the floors   |
      | 2200 | 1000     | the replicas are unreachable   |
      | 2200 | 1000     | the primary has led for 2 s    |

  Scenario: the replica that has received most of the log is chosen
    Given a group whose replicas refuse reads for a lag of 2200 ms
    When the primary is at 3.1000 and the replicas have received 3.999 and 3.1001
    Then "s" is to lead the group

  Scenario: a replica that does not receive the log is not chosen
    Given a group whose replicas refuse reads for a lag of 2200 ms
    When the primary is at 3.1000 and the replicas have received 3.980 and 3.999
    Then no replica is to lead the group

  Scenario: a member that no longer leads is not relieved
    Given a group whose replicas refuse reads for a lag of 2200 ms
    When the primary has lost its lead and the replicas have received 3.1000
    Then no replica is to lead the group

  Scenario: a relief loses no commit and gives the group a second member
    Given an emulated deployment of 3 hosts
    And a lag of 60 s of every replica
    When a caller of "orders" writes "one" to "a" through host 0
    And host 0 relieves the primary
    Then a caller of "filings" reads "one" from "a" through host 1
    And the old primary is a replica that has applied every commit
    And exactly one promotion was accepted

  Scenario: a primary whose replicas receive nothing is kept
    Given an emulated deployment of 3 hosts
    And a lag of 60 s of every replica
    When a caller of "orders" writes "one" to "a" through host 0
    And the replicas receive nothing more
    And a caller of "orders" writes "two" to "a" through host 0
    And host 0 relieves the primary
    Then the primary still leads
    And a caller of "filings" reads "two" from "a" through host 1

  Scenario Outline: few hosts try to relieve a primary
    Given <hosts> hosts in 3 zones that see an overloaded primary
    Then <voters> of the hosts may try to relieve the primary

    Examples:
      | hosts | voters |
      | 9     | 9      |
      | 300   | 12     |

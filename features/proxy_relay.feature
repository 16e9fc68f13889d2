Feature: Statements through the connections of other hosts

  Load pattern: more hosts than a member takes connections. A few hosts of
  its zone hold them, and the others send their statements there.

  Scenario Outline: a crowd of hosts leaves the connections to a few
    Given <hosts> hosts in 3 zones and members of <connections> connections
    Then <holders> hosts of its zone hold the connections of a member

    Examples:
      | hosts | connections | holders |
      | 75    | 44          | 8       |
      | 91    | 240         | 8       |
      | 30    | 16          | 3       |
      | 30    | 3           | 1       |
      | 10    | 12          | 2       |

  Scenario: each host holds its own where there are enough
    Given 8 hosts in 3 zones and members of 16 connections
    Then every host holds connections of its own

  Scenario: other zones hold them where none is live in the member's
    Given 75 hosts in 3 zones and members of 44 connections
    When the hosts of the member's zone are gone
    Then 8 hosts of other zones hold the connections of a member

  Scenario: the hosts spread over the holders, also once one is gone
    Given 75 hosts in 3 zones and members of 44 connections
    Then each holder is the first choice of 2 to 20 hosts
    And those of a holder that is gone choose 3 others or more

  Scenario: a member that is replaced is held by the same hosts
    Given 75 hosts in 3 zones and members of 44 connections
    Then the holders do not depend on the member

  Scenario: a burst does not make every host dial the primary
    Given 75 hosts in 3 zones and members of 44 connections
    Then 12 hosts vote on a primary, 4 of each zone
    And they hold connections to the group's members
    And a host that does not vote acts after all of them

  Scenario: a read that was answered elsewhere is never sent
    Given a holder whose connections are all taken
    When another host sends a read and gives it up
    And a connection comes free
    Then the member was sent nothing

  Scenario: a paused holder reads a request and its end together
    Given a holder with a free connection
    When another host's read arrives behind its end
    Then the member was sent nothing

  Scenario: a transaction whose host is gone is rolled back
    Given a holder with a free connection
    When another host opens a transaction and its connection breaks
    Then the connection to the member is closed

  Scenario: a statement of a transaction that has ended runs nowhere
    Given a holder with a free connection
    When another host opens a transaction and its connection breaks
    And the host sends a write of that transaction again
    Then it is told that the transaction is lost
    And the member was sent no write

  Scenario: all who wait for a host that is dead wait once
    Given a host that does not answer
    When 20 requests for it come at the same time
    Then it was dialled once and all are told that nothing was sent

  Scenario: a host that stops waits for the transactions of other hosts
    Given a host without sessions on which another host has a transaction
    When the host is told to stop and the transaction stays open
    Then it waits until its grace is over
    When the host is told to stop and the transaction has ended
    Then it ends before its grace is over

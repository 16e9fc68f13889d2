Feature: Requests that are relayed through other hosts

  Load pattern: the deployment has more hosts than a member accepts
  connections. A few hosts of the member's zone hold the connections, and the
  other hosts relay their requests through these holders.

  Scenario Outline: in a large deployment a few hosts hold the connections
    Given <hosts> hosts in 3 zones and members of <connections> connections
    Then <holders> hosts of the member's zone hold the connections to it

    Examples:
      | hosts | connections | holders |
      | 75    | 44          | 8       |
      | 91    | 240         | 8       |
      | 30    | 16          | 3       |
      | 30    | 3           | 1       |
      | 10    | 12          | 2       |

  Scenario: each host has its own connections if there are enough
    Given 8 hosts in 3 zones and members of 16 connections
    Then every host has its own connections to a member

  # Each side of a partition had few enough hosts to give up its holders, so
  # that every host opened connections and members refused 5,000 of them.
  Scenario: a network partition does not make every host open connections
    Given 29 hosts in 3 zones and members of 46 connections
    When a network partition leaves 13 of the registered hosts
    Then at most 8 hosts hold the connections to a member

  # A refused host tried again for each request that arrived, so that the
  # attempts took slots of a member that had no connection left.
  Scenario: a host waits between two connections that a full member refuses
    Given a host with 2 of its 5 connections to a member open
    When the member refuses a connection and 100 requests arrive in 1 s
    Then the host tries to open at most 5 connections

  Scenario: hosts of other zones are holders if the member's zone has no host
    Given 75 hosts in 3 zones and members of 44 connections
    When the hosts of the member's zone are removed
    Then 8 hosts of other zones hold the connections to a member

  Scenario: the hosts are spread over the holders, also after a holder is lost
    Given 75 hosts in 3 zones and members of 44 connections
    Then each holder is the first choice of 2 to 20 hosts
    And the hosts of a lost holder choose at least 3 other holders

  Scenario: the holders stay the same when a member is replaced
    Given 75 hosts in 3 zones and members of 44 connections
    Then the holders depend on the group but not on the member

  Scenario: only some hosts vote on a primary, so that not every host dials it
    Given 75 hosts in 3 zones and members of 44 connections
    Then 12 hosts vote on a primary, 4 of each zone
    And the voters hold connections to the group's members
    And a host that does not vote starts a failover after all voters

  Scenario: a relayed read that another member has answered is not sent
    Given a holder without a free connection
    When another host relays a read and ends its lease
    And a connection is released
    Then the member was sent no relayed request

  Scenario: a relayed read that is served after the end of its lease is not sent
    Given a holder with a free connection
    When a relayed read is served after the end of its lease
    Then the member was sent no relayed request

  Scenario: a relayed read that arrives while its holder exits is not sent
    Given a holder with a free connection
    When the holder takes no new work and another host relays a read
    Then the member was sent no relayed request

  Scenario: a relayed read that waits while its holder exits is not sent
    Given a holder without a free connection
    When another host relays a read and the holder takes no new work
    And a connection is released
    Then the member was sent no relayed request

  Scenario: the transaction of a host that is lost is rolled back
    Given a holder with a free connection
    When another host opens a transaction and then loses its connection to the holder
    Then the connection to the member is closed

  Scenario: a statement of a transaction that has ended is not run
    Given a holder with a free connection
    When another host opens a transaction and then loses its connection to the holder
    And the host relays a write of that transaction
    Then the host is told that the transaction is lost
    And the member was sent no write

  Scenario: simultaneous requests to a host that is down share one dial
    Given a host that does not answer
    When 20 requests to the host are made at the same time
    Then the host was dialled once and each request is reported as not run

  Scenario: a draining host waits for the transactions of other hosts
    Given a host without sessions that relays a transaction of another host
    When the host is drained and the transaction stays open
    Then the drain lasts until the end of its grace period
    When the host is drained and the transaction has ended
    Then the drain completes before the end of its grace period

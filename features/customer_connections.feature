Feature: Connections to a member by customer

  Load pattern: 85 customers of very different sizes share the connections that
  a host may open to a member, and load varies in waves of 13 s. A connection
  serves only its own customer, and a new one occupies a slot of the member.

  Scenario: a connection is handed out to its own customer only
    Given idle connections of the customers "a b a c"
    Then work of the customer "b" gets a connection of "b"
    And work of the customer "d" gets none
    And a probe gets a connection of "c"

  Scenario: the connection that is not needed any more is evicted first
    Given idle connections of the customers "a b b b c"
    When 20 s pass and all but "c" are used again
    Then the connection that makes room for "d" belongs to "c"

  Scenario: the customer that holds most makes room before a small one
    Given idle connections of the customers "a b b b c"
    Then the connection that makes room for "d" belongs to "b"

  Scenario: a large customer does not evict the small ones one after the other
    Given idle connections of the customers "a b c d"
    And 3 connections of the customer "large" in use
    Then no connection makes room for "large"
    But the connection that makes room for "e" belongs to "a"

  Scenario: only idle connections are evicted
    Given 3 connections of the customer "large" in use
    Then no connection makes room for "e"

  Scenario: connections are needed for one period of the waves, by customer
    Given 3 connections of the customer "a" and then 2 of "b" in use at once
    Then 5 connections are needed
    When 14 s pass without use
    Then 0 connections are needed

  Scenario Outline: a holder keeps idle connections by need, other hosts as before
    Given a share of <share> connections at a host that <holds>
    And 14 s have passed since a refusal by the member
    Then of <needed> needed connections <kept> are kept
    When the member refuses one more connection
    Then of <needed> needed connections <after> are kept

    Examples:
      | share | holds               | needed | kept | after |
      | 10    | is a holder         | 7      | 7    | 5     |
      | 10    | is a holder         | 2      | 5    | 5     |
      | 10    | is a holder         | 30     | 10   | 5     |
      | 10    | has its connections | 7      | 5    | 5     |

  Scenario Outline: a holder does not open the same connections in each wave
    Given work of 50 ms at 15.2 per second in waves of 55 % for 65 s
    When a holder with a share of 5 keeps half and a holder keeps by need
    Then by need at most a third of the connections are opened, seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: holders by customer open few connections
    Given 85 customers with 39 pieces of work per second at one member, seed <seed>
    When each way assigns the work to the hosts
    Then holders by customer open less than a third of those by member
    And pools by host and customer open a connection for most of the work
    And the holders by customer stay within 82 connections

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: the shares of holders of different capacity stay within the limit
    Given the capacities 2.15, 2.15, 0.516, 0.516 and 0.516 of holders
    Then their shares of 82 connections are 30, 30, 7, 7 and 7

  Scenario: work that waits for its customer's connection does not hold up others
    Given a pool of 2 connections, of the customers "a" and "c", in use
    When work of "c a" waits
    And the customer "a" returns its connection
    Then the work of "a" is served and 1 piece of work waits
    When the customer "c" returns its connection
    Then the work of "c" is served and 0 pieces of work wait

  Scenario: the waiting work of a large customer does not starve a small one
    Given a pool of 2 connections, of the customers "large" and "b", in use
    When work of "small large large large" waits
    And the customer "large" returns its connection
    Then the work of "small" is served and 3 pieces of work wait

  Scenario: a dial that is cancelled wakes the next work of its customer
    Given a pool of 1 connection, of the customer "a", in use
    And work of "b" that dials and work of "b" that waits
    When the work that dials is cancelled
    Then the work that waits gets a connection

  Scenario: a full member is tried again once a connection of another customer is closed
    Given a pool with an idle connection of "a" at a member that is full
    When work of "b" asks for a connection
    Then it gets one, and the connection of "a" was closed

  Scenario: work that the queue dropped at its deadline does not wait for ever
    Given a pool of 1 connection, of the customer "a", in use
    When the queue drops the waiting work of "a" at its deadline
    Then the work ends and nothing waits

  Scenario Outline: every request ends, and no connection serves two customers
    Given a pool of 4 connections for 7 customers, seed <seed>
    When 300 requests arrive, some are cancelled and some connections refused
    Then every request has ended and nothing waits
    And each connection served its own customer
    And at most 8 connections were open

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: nothing is opened ahead where there are customers
    Given a holder in a deployment with customers
    When its connections are maintained
    Then no connection is open
    But without customers one connection is opened

  Scenario: a holder relays the work of a customer of another holder
    Given a holder of which another holder is first for the customer "c"
    When work of "c" is sent
    Then the other holder has sent it
    And a probe uses a connection of this host
    And the relayed request does not count on this host's connections

  Scenario: a holder that is the first refuses for load, and the next one is asked
    Given a holder that is the first for the customer "c" and has no room
    When work of "c" is sent
    Then the other holder has sent it

  Scenario: a holder serves the work of a customer whose first holder refuses
    Given a holder of which another holder is first for the customer "c"
    When the other holder refuses and a transaction of "c" is opened
    Then a connection of this host has sent it and is kept for the transaction
    When the transaction is ended
    Then the connection of "c" is idle

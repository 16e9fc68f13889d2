Feature: The whole path on the emulated platform

  Background:
    Given an emulated deployment of 3 hosts

  Scenario: a caller reads its own write at every kind of database
    When a caller of "orders" writes "a" as "one" through host 0
    Then the same caller reads "a" as "one"
    And a caller of "filings" reads "a" as "one" through host 1
    And every answer carries a member's signature

  Scenario: reads that may be older run at replicas
    When a caller of "orders" writes "a" as "one" through host 0
    And reads take 60 ms at the primary
    And a caller of "lookups" reads 30 times through host 0
    Then replicas have served some of them

  Scenario: a database without a route is denied
    Then a caller of "nowhere" is denied with "NODB" at host 0

  Scenario: a route that is added is served, one that is dropped is denied
    When the configuration holds "filings" and "extra" alone
    Then a caller of "extra" is served before long at host 1
    And a caller of "orders" is denied before long at host 1

  Scenario: a transaction is whole, and mixes with none
    Given a caller of "orders" at host 0
    When it says "BEGIN" and "WRITE x 1" and "WRITE y 2"
    Then a caller of "filings" reads "x" as "-" through host 1
    When it says "COMMIT"
    Then a caller of "filings" reads "x" as "1" through host 1
    And a caller of "filings" reads "y" as "2" through host 1

  Scenario: a caller that leaves inside a transaction leaves nothing
    Given a caller of "orders" at host 0
    When it says "BEGIN" and "WRITE x 1"
    And it closes its connection
    Then a caller of "filings" reads "x" as "-" through host 1
    And a caller of "orders" writes "x" as "2" through host 0

  Scenario: values and prepared statements hold on any connection
    Given a caller of "orders" at host 0
    When it says "SET tz utc" and "PREPARE s1 WRITE shape" and "EXEC s1 k v"
    And other callers of "orders" use 8 connections of host 0
    Then its "READ k" answers "v" with the values "tz=utc"

  Scenario: the primary crashes and another leads
    When a caller of "orders" writes "a" as "one" through host 0
    And the primary crashes
    Then a caller of "orders" can write "b" before long through host 0
    And a caller of "filings" reads "b" before long through host 2
    And one promotion was carried out

  Scenario: the primary crashes while the store is down
    When the store goes down
    And the primary crashes
    Then a caller of "orders" can write "b" before long through host 1
    And one promotion was carried out

  Scenario: a primary that leaves hands over without a rollback
    When a caller of "orders" writes "a" as "one" through host 0
    And the primary announces its end
    Then another member leads before long
    And no commit was rolled back
    And a caller of "filings" reads "a" before long through host 1

  Scenario: with synchronous replicas the one that has every commit leads
    Given the group confirms commits at 1 replica
    When the primary crashes
    Then a caller of "orders" can write "b" before long through host 0
    And the replicas were held before the promotion

  Scenario: without every replica no synchronous commit is given up
    Given the group confirms commits at 1 replica
    When a replica crashes
    And the primary crashes
    Then no promotion is ordered while the replica is away
    When the replica is back
    Then a caller of "orders" can write "b" before long through host 0

  Scenario: a lost answer of a write is unknown, and never sent again
    When the primary loses its next answer
    Then a caller of "orders" that writes "z" is told "UNSURE" at host 0
    And the members have seen one write of "z"

  Scenario: the history is forgotten and the members restart
    When the store forgets its history
    And the configuration holds "filings" and "extra" alone
    Then a caller of "extra" is served before long at host 0

  Scenario: a broken entry names no member and harms none
    When the store holds a broken entry
    Then a caller of "orders" writes "a" as "one" through host 0

  Scenario Outline: broken input gets a clear answer and harms no other
    Given a caller of "orders" at host 0
    When another caller sends <bytes>
    Then the other caller is told "<code>"
    And a caller of "orders" writes "a" as "one" through host 0

    Examples:
      | bytes                      | code   |
      | "QUERY"                    | BAD    |
      | "QUERY 1 DROP TABLE"       | BAD    |
      | "QUERY 1 EXEC nope k"      | NOSTMT |
      | "QUERY 1 COMMIT"           | BAD    |
      | "GET / HTTP/1.1"           | BAD    |
      | a message over the limit   | TOOBIG |

  Scenario: requests in one write are answered in order
    Given a caller of "orders" at host 0
    When it sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then it is answered "", "1" and "-"

  Scenario: a host that stops cuts no request and closes idle sessions
    Given a caller of "orders" at host 0
    When host 0 is told to stop while the caller goes on
    Then the caller is answered until the host closes its session

  Scenario: a caller that never rests is closed between two requests
    Given a caller of "orders" at host 0
    When host 0 is told to stop while the caller asks without a pause
    Then every request was answered and the host ended its sessions itself

  Scenario: what comes at the very end of a stop is refused, not cut
    Given a caller of "orders" at host 0
    When host 0 is about to end
    Then the caller is told "BUSY" and its session is closed
    And a caller of "orders" is denied with "BUSY" at host 0

  Scenario: the state of a host can be read at any time
    When a caller of "orders" writes "a" as "one" through host 0
    Then the state of host 0 tells each member and its connections

  Scenario: changes that come together cost few calls to the service
    When 20 entries of other writers change one after the other
    Then each host has made less than 10 calls for them

  Scenario: a host that starts reads everything in one call
    When another host starts
    Then it has read one range besides the one that begins its watch

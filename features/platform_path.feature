Feature: Caller sessions through the hosts of an emulated platform

  Background:
    Given an emulated deployment of 3 hosts

  Scenario: a write is read in the same session and at primary freshness
    When a caller of "orders" writes "one" to "a" through host 0
    Then the same caller reads "one" from "a"
    And a caller of "filings" reads "one" from "a" through host 1
    And every answer has the signature of a member

  Scenario: replicas answer reads of a database with bounded freshness
    When a caller of "orders" writes "one" to "a" through host 0
    And a read takes 60 ms at the primary
    And a caller of "lookups" reads 30 times through host 0
    Then replicas have answered some of the reads

  Scenario: a session to a database without a route is rejected
    Then a caller of "nowhere" is rejected with "NODB" at host 0

  Scenario: an added route is served and a removed route is rejected
    When the configuration has only the databases "filings" and "extra"
    Then a caller of "extra" is eventually served at host 1
    And a caller of "orders" is eventually rejected at host 1

  Scenario: the writes of a transaction become visible together at its commit
    Given a caller of "orders" connected to host 0
    When the caller executes "BEGIN" and "WRITE x 1" and "WRITE y 2"
    Then a caller of "filings" reads "-" from "x" through host 1
    When the caller executes "COMMIT"
    Then a caller of "filings" reads "1" from "x" through host 1
    And a caller of "filings" reads "2" from "y" through host 1

  Scenario: an open transaction is rolled back when its caller disconnects
    Given a caller of "orders" connected to host 0
    When the caller executes "BEGIN" and "WRITE x 1"
    And the caller closes its connection
    Then a caller of "filings" reads "-" from "x" through host 1
    And a caller of "orders" writes "2" to "x" through host 0

  Scenario: session values and prepared statements work on any connection
    Given a caller of "orders" connected to host 0
    When the caller executes "SET tz utc" and "PREPARE s1 WRITE shape" and "EXEC s1 k v"
    And other callers of "orders" use 8 connections of host 0 at once
    Then the caller's "READ k" returns "v" with the session values "tz=utc"

  Scenario: another member becomes primary after the primary crashes
    When a caller of "orders" writes "one" to "a" through host 0
    And the primary crashes
    Then a caller of "orders" can eventually write "b" through host 0
    And a caller of "filings" eventually reads "b" through host 2
    And exactly one promotion was accepted

  Scenario: failover works while the store is unavailable
    When the store becomes unavailable
    And the primary crashes
    Then a caller of "orders" can eventually write "b" through host 1
    And exactly one promotion was accepted

  Scenario: a primary that announces its stop is replaced without a rollback
    When a caller of "orders" writes "one" to "a" through host 0
    And the primary announces that it will stop
    Then another member eventually becomes primary
    And no commit was rolled back
    And a caller of "filings" eventually reads "a" through host 1

  Scenario: failover with synchronous replicas pauses their replication
    Given the group requires 1 replica to confirm a commit
    When the primary crashes
    Then a caller of "orders" can eventually write "b" through host 0
    And both replicas were told to pause replication

  Scenario: a missing synchronous replica prevents the failover
    Given the group requires 1 replica to confirm a commit
    When a replica crashes
    And the primary crashes
    Then no promotion is requested while the replica is down
    When the replica restarts
    Then a caller of "orders" can eventually write "b" through host 0

  Scenario: a write whose answer is lost is reported as unknown and not repeated
    When the primary withholds its next answer
    Then a caller of "orders" that writes "z" gets "UNSURE" at host 0
    And the members have received exactly one write of "z"

  Scenario: hosts follow the configuration after the store discards its history
    When the store discards its history
    And the configuration has only the databases "filings" and "extra"
    Then a caller of "extra" is eventually served at host 0

  Scenario: an invalid member entry does not affect other members
    When the store contains invalid member entries
    Then a caller of "orders" writes "one" to "a" through host 0

  Scenario Outline: invalid input is rejected without affecting other callers
    Given a caller of "orders" connected to host 0
    When another caller sends <bytes>
    Then the other caller gets "<code>"
    And a caller of "orders" writes "one" to "a" through host 0

    Examples:
      | bytes                      | code   |
      | "QUERY"                    | BAD    |
      | "QUERY 1 DROP TABLE"       | BAD    |
      | "QUERY 1 EXEC nope k"      | NOSTMT |
      | "QUERY 1 COMMIT"           | BAD    |
      | "GET / HTTP/1.1"           | BAD    |
      | a message over the limit   | TOOBIG |

  Scenario: pipelined requests are answered in order
    Given a caller of "orders" connected to host 0
    When the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets the answers "", "1" and "-"

  Scenario: a planned stop completes requests and closes idle sessions
    Given a caller of "orders" connected to host 0
    When host 0 begins a planned stop while the caller pauses between requests
    Then every request of the caller succeeds until the host closes its session

  Scenario: a planned stop closes a busy session between two requests
    Given a caller of "orders" connected to host 0
    When host 0 drains its sessions while the caller sends requests without a pause
    Then every request succeeded and the host closed its sessions in time

  Scenario: a planned stop answers a write whose member stays silent
    Given a caller of "orders" connected to host 0
    When the primary withholds its next answer
    And host 0 drains its sessions while the caller waits for a write
    Then the caller gets the answer "UNSURE" to its write

  Scenario: a planned stop tells that a read may have run
    Given a caller of "filings" connected to host 0
    When the primary withholds its next 3 answers
    And host 0 drains its sessions while the caller waits for a read
    Then the caller gets the answer "UNSURE" to its read

  Scenario: a planned stop answers a write that waits for a primary
    Given a caller of "orders" connected to host 0
    When every member crashes
    And host 0 drains its sessions while the caller waits for a write
    Then the caller gets the answer "BUSY" to its write

  Scenario: requests at the end of a planned stop are rejected with an answer
    Given a caller of "orders" connected to host 0
    When host 0 reaches the last phase of its planned stop
    Then the caller gets "BUSY" and its session is closed
    And a caller of "orders" is rejected with "BUSY" at host 0

  Scenario: the state of a host lists the connections to the members
    When a caller of "orders" writes "one" to "a" through host 0
    Then the state of host 0 lists each member and its connections

  Scenario: changes in quick succession cause few calls to the store
    When 20 keys of other writers change one after the other
    Then the hosts have made fewer than 10 calls per host

  Scenario: a starting host reads the store with one additional call
    When another host starts
    Then the new host has read one range besides the initial range of its watch

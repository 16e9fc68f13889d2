Feature: Sessions on relayed connections

  Background:
    Given an emulated deployment of 4 hosts with 3 connections a member

  Scenario: a caller reads its own write through any host
    When a caller of "orders" writes "one" to "a" through host 0
    Then the same caller reads "one" from "a"
    And a caller of "filings" reads "one" from "a" through host 1
    And a caller of "filings" reads "one" from "a" through host 2
    And a caller of "filings" reads "one" from "a" through host 3
    And only one host holds connections to each member

  Scenario: a relayed transaction is atomic and isolated
    Given a caller of "orders" connected to host 1
    When the caller executes "BEGIN" and "WRITE x 1" and "WRITE y 2"
    Then a caller of "filings" reads "-" from "x" through host 2
    When the caller executes "COMMIT"
    Then a caller of "filings" reads "1" from "x" through host 2

  Scenario: the open transaction of a caller that disconnects is rolled back
    Given a caller of "orders" connected to host 1
    When the caller executes "BEGIN" and "WRITE x 1"
    And the caller closes its connection
    Then a caller of "filings" reads "-" from "x" through host 2
    And no lease stays active

  Scenario: session variables and prepared statements apply on any connection
    Given a caller of "orders" connected to host 1
    When the caller executes "SET tz utc" and "PREPARE s1 WRITE shape" and "EXEC s1 k v"
    And other callers of "orders" use 8 connections of host 0 at once
    Then the caller's "READ k" returns "v" with the session values "tz=utc"

  Scenario: the primary crashes and a replica is promoted
    When a caller of "orders" writes "one" to "a" through host 1
    And the primary crashes
    Then a caller of "orders" can eventually write "b" through host 1
    And a caller of "filings" eventually reads "b" through host 2
    And exactly one promotion was accepted

  Scenario: a draining holder interrupts no statement of another host
    Given a caller of "orders" at a host that relays its requests to the primary
    When the holder of the primary is drained while the caller writes
    Then every write of the caller was answered

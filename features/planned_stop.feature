Feature: Planned stop of an entry host
  A request that the host has read gets its answer, whenever it arrives.

  Background:
    Given an emulated deployment of 1 hosts

  Scenario: a request that arrives while its idle session is closed is answered
    Given the sessions of host 0 have a clock that stands still
    And a caller of "orders" that sends "READ a" when its session was found idle
    And the caller has executed "WRITE a 1" and "READ a"
    When the sessions of host 0 have been idle for 1 s
    And host 0 closes its idle sessions
    Then the caller gets the answer "DONE" and then the end of its session

  Scenario: a session that has just been opened is not closed as idle
    Given the sessions of host 0 have a clock that stands still
    And a caller of "orders" connected to host 0
    And host 0 is closing its sessions
    When host 0 closes its idle sessions
    And the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets the answers "", "1" and "-"

  Scenario: a session whose caller sends one request after the other is not closed as idle
    Given the sessions of host 0 have a clock that stands still
    And a caller of "orders" connected to host 0
    And the caller has executed "WRITE a 1" and "READ a"
    When host 0 closes its idle sessions
    And the caller executes "READ a"
    And the sessions of host 0 have been idle for 1 s
    And host 0 closes its idle sessions
    Then the caller's session has ended

  Scenario: requests sent together before a planned stop are all answered
    Given a caller of "orders" connected to host 0
    And host 0 is closing its sessions
    When the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets the answers "", "1" and "-"

  Scenario: requests sent together at the end of a planned stop are all rejected
    Given a caller of "orders" connected to host 0
    When host 0 reaches the last phase of its planned stop
    And the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets 3 answers "BUSY" and then the end of its session

  Scenario: a caller that connects as the host stops accepting is answered
    When host 0 drains its sessions and a caller sends "READ a" on a connection that was not accepted yet
    Then that caller got "DONE" before the drain ended

  Scenario: a drain goes on when waiting connections can't be accepted
    Given a caller of "orders" connected to host 0
    When host 0 drains its sessions and accepting fails for lack of descriptors
    Then the caller's session has ended
    And no connection to host 0 is possible

  Scenario: no request is taken after the drain has ended
    When host 0 drains its sessions without callers
    Then no connection to host 0 is possible

  Scenario: a host that refuses requests accepts no further connection
    Given a drain with a grace period of 6 s that looks every 0.05 s
    Then the host stops accepting at 4.22 s while 3 connections are open

  Scenario: a drain ends only at a look after the host has stopped accepting
    Given a drain with a grace period of 6 s that looks every 0.05 s
    When nothing is open from 2.2 s on and 1 connection is open right after the host has stopped accepting
    Then the host stops accepting before the drain ends
    And the drain does not end while that connection is open

  Scenario: a reply that is ready when its statement is interrupted is sent
    Given a session of "orders" whose statement ends while it is interrupted
    When the session handles "READ a" and its reply is sent to a slow caller
    Then the reply is sent

  Scenario: a transaction that a stopping host would cut is rejected at its begin
    Given a caller of "orders" connected to host 0
    When host 0 no longer waits for idle transactions
    Then the caller gets "BUSY" to "BEGIN"
    And the caller gets "DONE" to "READ a"

  Scenario: a commit that arrives when the grace period is over is rejected
    Given a caller of "orders" connected to host 0
    And the caller has executed "BEGIN" and "WRITE t 1"
    When host 0 drains its sessions and the caller sends "COMMIT" at the end of the grace period
    Then the caller gets the answer "BUSY" and then the end of its session
    And no member has received "COMMIT"

  Scenario: no request of another host is taken after the planned stop
    Given a caller of "orders" connected to host 0
    When host 0 stops as planned
    Then another host can't connect to host 0

  Scenario: the waits of a stop at the end of the grace period fit into its margin
    Then the waits for answers, components and the log fit into the exit margin

Feature: Statements to an overloaded member

  Load pattern: the replicas of a group are far behind, so that all reads go
  to a primary with three slots. The statements wait at the hosts instead of
  at the member.

  Scenario: the limit stays at its maximum while the member serves every statement
    Given a limit of the statements in flight at a member of 10 connections
    When the member serves 50 statements
    Then the limit is 10 statements in flight

  Scenario: simultaneous refusals for load decrease the limit only once
    Given a limit of the statements in flight at a member of 10 connections
    When the member refuses 8 statements at the same moment
    Then the limit is 5 statements in flight
    When the member refuses 4 statements 200 ms later
    Then the limit is 2 statements in flight
    When the member refuses 2 statements 200 ms later
    Then the limit is 1 statements in flight
    When the member refuses 1 statements 200 ms later
    Then the limit is 1 statements in flight

  Scenario: the limit increases again once the member serves every statement
    Given a limit of the statements in flight at a member of 10 connections
    When the member refuses 8 statements at the same moment
    And the member serves 100 statements
    Then the limit is 7 statements in flight
    When the member serves 300 statements
    Then the limit is 10 statements in flight

  Scenario: a long queue at the member decreases the limit before a refusal
    Given a limit of the statements in flight at a member of 10 connections
    When the member serves 50 statements in 100 ms each, 20 ms apart
    Then the limit is 1 statements in flight

  Scenario: requests of a higher priority are served first
    Given a member that serves one statement at a time
    When request "a" of priority 2 is in flight and "b" of priority 2 and "c" of priority 1 are queued
    And the statements finish one after the other
    Then the member has served "a c b"

  Scenario: a request whose turn would come too late is refused at once
    Given a member that serves one statement at a time
    When request "a" of priority 2 is in flight and "b" of priority 2 and "c" of priority 2 are queued
    Then a request of priority 2 with a maximum wait of 30 ms is refused at once
    But a request of priority 1 with a maximum wait of 60 ms is queued

  Scenario: statements of an open transaction are not queued
    Given a member that serves one statement at a time
    When request "a" of priority 2 is in flight and "b" of priority 2 and "c" of priority 2 are queued
    Then a statement of an open transaction is sent without a wait

  Scenario: a queued request that is cancelled does not leak the connection
    Given a member with one connection for which two requests wait
    When the connection is released and the first of the requests is cancelled
    Then the second request gets the connection

  Scenario: connections are opened one at a time while others are open
    Given a member to which new connections are slow and one is open
    When 6 requests arrive at once
    Then one connection is being opened and the other requests wait
    When new connections are fast again
    Then every request gets a connection

  Scenario: a connection attempt that is cancelled does not count as open
    Given a member to which new connections are slow and one is open
    When a request is cancelled while its connection is being opened
    Then one connection counts as open

  Scenario Outline: a request that every member refuses is refused at once
    Given a group whose primary is overloaded and whose replica is far behind
    Then <request> is refused at once as not run

    Examples:
      | request                 |
      | a read                  |
      | a read of the present   |
      | a transaction           |

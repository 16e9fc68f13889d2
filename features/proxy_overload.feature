Feature: Statements that press on a member that is full

  Load pattern: a group's replicas are far behind, so that all its reads go
  to a primary with three slots. They wait at the hosts, not at the member.

  Scenario: a member that takes everything is not held back
    Given a limit of statements at a member of 10 connections
    When the member serves 50 statements
    Then 10 statements may be at it at once

  Scenario: refusals for load shrink the limit, once for those of one queue
    Given a limit of statements at a member of 10 connections
    When the member refuses 8 statements at the same moment
    Then 5 statements may be at it at once
    When the member refuses 4 statements 200 ms later
    Then 2 statements may be at it at once
    When the member refuses 2 statements 200 ms later
    Then 1 statements may be at it at once
    When the member refuses 1 statements 200 ms later
    Then 1 statements may be at it at once

  Scenario: the limit grows back once the member takes everything
    Given a limit of statements at a member of 10 connections
    When the member refuses 8 statements at the same moment
    And the member serves 100 statements
    Then 7 statements may be at it at once
    When the member serves 300 statements
    Then 10 statements may be at it at once

  Scenario: a long queue at the member shrinks the limit before it refuses
    Given a limit of statements at a member of 10 connections
    When the member serves 50 statements in 100 ms each, 20 ms apart
    Then 1 statements may be at it at once

  Scenario: the most important work goes first, whatever came before it
    Given a member that serves one statement at a time
    When work "a" of priority 2 is at it and "b" of priority 2 and "c" of priority 1 wait
    And the statements end one after the other
    Then it has served "a c b"

  Scenario: work that could not have its turn in time is refused at once
    Given a member that serves one statement at a time
    When work "a" of priority 2 is at it and "b" of priority 2 and "c" of priority 2 wait
    Then work of priority 2 that must have its turn in 30 ms is refused at once
    But work of priority 1 that must have its turn in 60 ms waits

  Scenario: a transaction that has begun is not held back
    Given a member that serves one statement at a time
    When work "a" of priority 2 is at it and "b" of priority 2 and "c" of priority 2 wait
    Then a statement of an open transaction is sent without a wait

  Scenario: work that ends while it waits loses no connection
    Given a member with one connection for which two pieces of work wait
    When the connection comes free and the first of them is ended
    Then the second one has the connection

  Scenario Outline: what every member refuses is refused at once
    Given a group whose primary is full and whose replica is far behind
    Then <work> is refused at once as not run

    Examples:
      | work                    |
      | a read                  |
      | a read of the present   |
      | a transaction           |

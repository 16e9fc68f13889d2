Feature: Division of a member's connection limit between poolers

  Scenario: only the control connection is allowed before the member's first report
    Given a connection budget for 16 connections and 2 slots
    Then the allowance is 1 connection

  Scenario: a pooler uses half of the limit until no other pooler is reported for 2 s
    Given a connection budget for 16 connections and 12 slots
    When the member reports 1 connection, 1 of them own, at 0 s
    Then the allowance is 7 connections
    When the member reports 7 connections, 7 of them own, at 1 s
    And the member reports 7 connections, 7 of them own, at 2 s
    Then the allowance is 14 connections
    When the member reports 9 connections, 7 of them own, at 3 s
    Then the allowance is 7 connections

  Scenario: an old report does not permit use of the full limit
    Given a connection budget for 16 connections and 12 slots
    When the member reports 5 connections, 5 of them own, at 0 s
    And the member reports 5 connections, 5 of them own, at 2 s
    And the clock shows 5 s
    Then the allowance is 7 connections

  Scenario: a pooler closes idle connections above its allowance
    Given a connection budget for 16 connections and 12 slots
    When the member reports 18 connections, 7 of them own, at 0 s
    Then 2 idle connections of 7 open ones are closed

  Scenario: idle connections are closed down to one more than the slots
    Given a connection budget for 16 connections and 2 slots
    Then a connection idle for 60 s is closed with 4 open for work
    But a connection idle for 60 s is kept with 3 open for work

  Scenario: the rate of new connections is limited
    Given a connection rate limiter
    Then 2 of 10 connections may be opened at the same time
    And 20 connections that open in 12 ms each take at least 0.7 s

  Scenario Outline: poolers keep the limit through a host failure and different views
    When <poolers> poolers with <way> share <limit> connections and <slots> slots
    Then the limit is exceeded for at most <over> ms

    Examples:
      | poolers | way      | limit | slots | over |
      | 2       | a budget | 16    | 2     | 0    |
      | 3       | a budget | 16    | 2     | 0    |
      | 3       | a budget | 16    | 10    | 0    |
      | 3       | a budget | 30    | 24    | 0    |
      | 8       | a budget | 30    | 2     | 200  |

  Scenario: poolers without a budget exceed the limit
    When 3 poolers with no budget share 16 connections and 10 slots
    Then the limit is exceeded for more than 200 ms

  Scenario: poolers that take half of the limit regardless of reports exceed it
    When 3 poolers with half of the limit share 16 connections and 10 slots
    Then the limit is exceeded for more than 200 ms

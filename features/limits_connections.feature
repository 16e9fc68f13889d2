Feature: A member's connections shared between poolers

  Scenario: before the member's first count only the control connection opens
    Given a connection budget for 16 connections and 2 slots
    Then 1 connection may be held

  Scenario: half of what may be used, until nobody else is seen for a while
    Given a connection budget for 16 connections and 12 slots
    When the member counts 1 connection of 1 own at 0 s
    Then 7 connections may be held
    When the member counts 7 connections of 7 own at 1 s
    And the member counts 7 connections of 7 own at 2 s
    Then 14 connections may be held
    When the member counts 9 connections of 7 own at 3 s
    Then 7 connections may be held

  Scenario: a count that is old shows nothing
    Given a connection budget for 16 connections and 12 slots
    When the member counts 5 connections of 5 own at 0 s
    And the member counts 5 connections of 5 own at 2 s
    And the clock shows 5 s
    Then 7 connections may be held

  Scenario: a pooler gives back what is over the limit
    Given a connection budget for 16 connections and 12 slots
    When the member counts 18 connections of 7 own at 0 s
    Then 2 idle connections of 7 are closed

  Scenario: idle connections shrink to the slots and one
    Given a connection budget for 16 connections and 2 slots
    Then a connection idle for 60 s is closed with 4 open for work
    But a connection idle for 60 s is kept with 3 open for work

  Scenario: new connections are paced
    Given a connection pacer
    Then 2 of 10 connections open at once
    And 20 connections that open in 12 ms each take at least 0.7 s

  Scenario Outline: the limit holds through a death and two views
    When <poolers> poolers with <way> share <limit> connections and <slots> slots
    Then the limit is passed for at most <over> ms

    Examples:
      | poolers | way      | limit | slots | over |
      | 2       | a budget | 16    | 2     | 0    |
      | 3       | a budget | 16    | 2     | 0    |
      | 3       | a budget | 16    | 10    | 0    |
      | 3       | a budget | 30    | 24    | 0    |
      | 8       | a budget | 30    | 2     | 200  |

  Scenario: without a budget the limit does not hold
    When 3 poolers with no budget share 16 connections and 10 slots
    Then the limit is passed for more than 200 ms

  Scenario: half of the limit each does not hold where counts are ignored
    When 3 poolers with half of the limit share 16 connections and 10 slots
    Then the limit is passed for more than 200 ms

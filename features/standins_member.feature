Feature: Stand-in for a database member
  Hosts must meet members that refuse lower terms, keep outcomes and
  rebuild a log that has left the primary's.

  Background:
    Given standins members a, b and c with a leading term 1

  Scenario: a write is read at a replica once its record was applied
    When "x" is written at standins member a under term 1
    Then a standins read at b with the floor of the write is refused as "replica-behind"
    When standins records flow from a to b
    Then standins member b holds "x"

  Scenario Outline: lower and foreign terms are refused
    Given standins members b and c are fenced at term 3
    When <call> at standins member b
    Then the standins call fails as "<code>"

    Examples:
      | call                            | code        |
      | "x" is written under term 1     | not-primary |
      | "x" is written under term 3     | not-primary |
      | term 2 is fenced                | stale-term  |
      | term 3 is fenced                | stale-term  |
      | term 2 is promoted              | stale-term  |
      | term 4 is promoted              | stale-term  |
      | a is followed under term 2      | stale-term  |

  Scenario: a primary takes no statement of a term to come
    When "x" is written at standins member a under term 2
    Then the standins call fails as "not-primary"
    And standins member a holds ""

  Scenario: a confirmation under an older term counts no copy
    When "x" is written at standins member a under term 1
    And standins records flow from a to b
    And standins records flow from a to c
    And standins members b and c are fenced at term 2
    And standins member b is promoted to term 2
    And standins member c confirms to b under term 1
    Then standins member b counts no copy at c

  Scenario: a replica takes no records of a term below its fence
    Given standins members b and c are fenced at term 2
    When "x" is written at standins member a under term 1
    Then standins member b refuses the records of a
    And standins member a counts no copy of the write

  Scenario: a promotion writes the first record of its term at once
    Given standins members b and c are fenced at term 2
    When standins member b is promoted to term 2
    Then the standins log of b ends at term 2 index 2

  Scenario: a fence ends the primary's open transaction
    Given an open standins transaction at a that wrote "x"
    When standins member a is fenced at term 2
    Then the standins transaction fails as "transaction-lost"
    And standins member a holds ""

  Scenario: reads do not see an open transaction
    Given an open standins transaction at a that wrote "x"
    Then standins member a holds ""
    When the standins transaction is committed as "r-1"
    Then standins member a holds "x"

  Scenario: a failed statement leaves the transaction to its caller
    Given an open standins transaction at a that wrote "x"
    When the standins transaction runs a statement with a fault
    Then the standins call fails as "statement-failed"
    When the standins transaction is committed as "r-1"
    Then standins member a holds "x"

  Scenario: a conflict clause that ends the transaction loses it whole
    Given an open standins transaction at a that wrote "x"
    When the standins transaction runs a statement that rolls back
    Then the standins transaction fails as "transaction-lost"
    And standins member a holds ""
    When "y" is written at standins member a under term 1
    Then standins member a holds "y"

  Scenario: a second use of a request id returns the kept outcome
    When request "r-1" writes "x" at standins member a
    And request "r-1" writes "x" at standins member a
    Then the standins answer is recalled
    And standins member a holds "x"

  Scenario: a request id with other content is refused
    When request "r-1" writes "x" at standins member a
    And request "r-1" writes "y" at standins member a
    Then the standins call fails as "request-id-reused"
    And standins member a holds "x"

  Scenario: a commit under a used request id rolls its statements back
    When request "r-1" writes "x" at standins member a
    Given an open standins transaction at a that wrote "x"
    When the standins transaction is committed as "r-1"
    Then the standins answer is recalled
    And standins member a holds "x"

  Scenario: an abandoned request never runs, at the next primary either
    When standins request "r-1" is resolved at a
    Then the standins call fails as "not-run"
    When standins records flow from a to b
    And standins members b and c are fenced at term 2
    And standins member b is promoted to term 2
    And request "r-1" writes "x" at standins member b
    Then the standins call fails as "not-run"
    And standins member b holds ""

  Scenario: an outcome is kept at the next primary
    When request "r-1" writes "x" at standins member a
    And standins records flow from a to b
    And standins members b and c are fenced at term 2
    And standins member b is promoted to term 2
    And request "r-1" writes "x" at standins member b
    Then the standins answer is recalled
    And standins member b holds "x"

  Scenario: a log that left the primary's is rebuilt before it serves
    When "lost" is written at standins member a under term 1
    And standins members b and c are fenced at term 2
    And standins member b is promoted to term 2
    And "x" is written at standins member b under term 2
    And standins member a follows b under term 2
    Then a standins read at a is refused as "replica-behind"
    And standins member b counts no copy at a
    When standins records flow from b to a
    Then standins member a holds "x"
    And standins member a was rebuilt

  Scenario: a log that is a beginning of the primary's goes on without a copy
    When "x" is written at standins member a under term 1
    And standins records flow from a to b
    And standins records flow from a to c
    And standins members b and c are fenced at term 2
    And standins member b is promoted to term 2
    And standins member c follows b under term 2
    And standins records flow from b to c
    Then standins member c holds "x"
    And standins member c was not rebuilt

  Scenario: a member that lost its log gives no vote
    Given standins member c has restarted without its log
    When standins member c is fenced at term 2
    Then the standins call fails as "stale-term"
    And a standins read at c is refused as "replica-behind"
    When standins member c follows a under term 1
    And standins records flow from a to c
    And standins member c is fenced at term 2
    Then the standins call succeeds

  Scenario Outline: a caller's statement can't leave its transaction
    When "<sql>" runs as a standins statement at a
    Then the standins call fails as "statement-failed"

    Examples:
      | sql                                   |
      | commit                                |
      | savepoint s                           |
      | pragma user_version = 3               |
      | attach ':memory:' as other            |
      | select * from trefoilpulley_outcomes  |
      | delete from trefoilpulley_outcomes    |

Feature: Simulated database member
  Tests of hosts need members that refuse lower terms, store outcomes and
  rebuild a log that has diverged from the primary's.

  Background:
    Given simulated members a, b and c with a as the primary of term 1

  Scenario: a replica serves a write after it has applied the write's record
    When "x" is written at simulated member a under term 1
    Then a read at simulated member b with the floor of the write is refused as "replica-behind"
    When records are replicated from simulated member a to b
    Then simulated member b holds "x"

  Scenario Outline: calls under a term that the member does not hold are refused
    Given simulated members b and c are fenced at term 3
    When <call> at simulated member b
    Then the call to the simulated member fails as "<code>"

    Examples:
      | call                            | code        |
      | "x" is written under term 1     | not-primary |
      | "x" is written under term 3     | not-primary |
      | term 2 is fenced                | stale-term  |
      | term 3 is fenced                | stale-term  |
      | term 2 is promoted              | stale-term  |
      | term 4 is promoted              | stale-term  |
      | a is followed under term 2      | stale-term  |

  Scenario: a primary refuses a statement of a later term
    When "x" is written at simulated member a under term 2
    Then the call to the simulated member fails as "not-primary"
    And simulated member a holds ""

  Scenario: a confirmation under an older term does not count as a copy
    When "x" is written at simulated member a under term 1
    And records are replicated from simulated member a to b
    And records are replicated from simulated member a to c
    And simulated members b and c are fenced at term 2
    And simulated member b is promoted to term 2
    And simulated member c confirms its position to b under term 1
    Then simulated member b counts no copy at c

  Scenario: a replica refuses records of a term below its fence
    Given simulated members b and c are fenced at term 2
    When "x" is written at simulated member a under term 1
    Then simulated member b refuses the records of a
    And simulated member a counts no copy of the write

  Scenario: a promotion immediately writes the first record of its term
    Given simulated members b and c are fenced at term 2
    When simulated member b is promoted to term 2
    Then the log of simulated member b ends at term 2 index 2

  Scenario: a fence ends the primary's open transaction
    Given an open transaction at simulated member a that has written "x"
    When simulated member a is fenced at term 2
    Then the open transaction fails as "transaction-lost"
    And simulated member a holds ""

  Scenario: reads do not see an open transaction
    Given an open transaction at simulated member a that has written "x"
    Then simulated member a holds ""
    When the open transaction is committed with the request id "r-1"
    Then simulated member a holds "x"

  Scenario: a failed statement leaves its transaction open
    Given an open transaction at simulated member a that has written "x"
    When the open transaction runs an invalid statement
    Then the call to the simulated member fails as "statement-failed"
    When the open transaction is committed with the request id "r-1"
    Then simulated member a holds "x"

  Scenario: a conflict clause that rolls back loses the whole transaction
    Given an open transaction at simulated member a that has written "x"
    When the open transaction runs a statement that rolls back
    Then the open transaction fails as "transaction-lost"
    And simulated member a holds ""
    When "y" is written at simulated member a under term 1
    Then simulated member a holds "y"

  Scenario: a second use of a request id returns the stored outcome
    When request "r-1" writes "x" at simulated member a
    And request "r-1" writes "x" at simulated member a
    Then the simulated member returns the stored outcome
    And simulated member a holds "x"

  Scenario: a request id with other content is refused
    When request "r-1" writes "x" at simulated member a
    And request "r-1" writes "y" at simulated member a
    Then the call to the simulated member fails as "request-id-reused"
    And simulated member a holds "x"

  Scenario: a commit under a used request id rolls its statements back
    When request "r-1" writes "x" at simulated member a
    Given an open transaction at simulated member a that has written "x"
    When the open transaction is committed with the request id "r-1"
    Then the simulated member returns the stored outcome
    And simulated member a holds "x"

  Scenario: an abandoned request never runs, not even at the next primary
    When the outcome of request "r-1" is resolved at simulated member a
    Then the call to the simulated member fails as "not-run"
    When records are replicated from simulated member a to b
    And simulated members b and c are fenced at term 2
    And simulated member b is promoted to term 2
    And request "r-1" writes "x" at simulated member b
    Then the call to the simulated member fails as "not-run"
    And simulated member b holds ""

  Scenario: the next primary has the stored outcomes
    When request "r-1" writes "x" at simulated member a
    And records are replicated from simulated member a to b
    And simulated members b and c are fenced at term 2
    And simulated member b is promoted to term 2
    And request "r-1" writes "x" at simulated member b
    Then the simulated member returns the stored outcome
    And simulated member b holds "x"

  Scenario: a member whose log has diverged is rebuilt before it serves reads
    When "lost" is written at simulated member a under term 1
    And simulated members b and c are fenced at term 2
    And simulated member b is promoted to term 2
    And "x" is written at simulated member b under term 2
    And simulated member a follows b under term 2
    Then a read at simulated member a is refused as "replica-behind"
    And simulated member b counts no copy at a
    When records are replicated from simulated member b to a
    Then simulated member a holds "x"
    And simulated member a was rebuilt

  Scenario: a member whose log is a prefix of the primary's is not rebuilt
    When "x" is written at simulated member a under term 1
    And records are replicated from simulated member a to b
    And records are replicated from simulated member a to c
    And simulated members b and c are fenced at term 2
    And simulated member b is promoted to term 2
    And simulated member c follows b under term 2
    And records are replicated from simulated member b to c
    Then simulated member c holds "x"
    And simulated member c was not rebuilt

  Scenario: a member that lost its log refuses a fence until it is rebuilt
    Given simulated member c has restarted without its log
    When simulated member c is fenced at term 2
    Then the call to the simulated member fails as "stale-term"
    And a read at simulated member c is refused as "replica-behind"
    When simulated member c follows a under term 1
    And records are replicated from simulated member a to c
    And simulated member c is fenced at term 2
    Then the call to the simulated member succeeds

  Scenario Outline: a caller's statement can't control transactions or use internal tables
    When "<sql>" runs as a statement at simulated member a
    Then the call to the simulated member fails as "statement-failed"

    Examples:
      | sql                                   |
      | commit                                |
      | savepoint s                           |
      | pragma user_version = 3               |
      | attach ':memory:' as other            |
      | select * from trefoilpulley_outcomes  |
      | delete from trefoilpulley_outcomes    |

Feature: Checker of the demonstration
  The checker must detect each fault that the report counts.

  Background:
    Given a demonstration journal without faults

  Scenario: a run without faults has no violation
    Then the demonstration checker counts nothing

  Scenario Outline: a fault is counted
    Given the journal fault "<fault>"
    Then the demonstration checker counts only <key>

    Examples:
      | fault                                              | key                     |
      | an acknowledged row is missing at one replica      | lost                    |
      | one row of a transaction is missing everywhere     | lost and mixed          |
      | a row stands twice                                 | doubled                 |
      | a row stands under another session                 | mixed                   |
      | a refused transaction is there in part             | mixed and false_not_run |
      | an answer has another request's parameter          | wrong_answer            |
      | a read misses the session's own write              | ryw_violations          |
      | a read is older than its class allows              | stale_beyond_target     |
      | a refused write is in the rows                     | false_not_run           |
      | a request is refused in a planned stop             | cut_by_planned_stop     |
      | a read of another tenant's database is answered    | wrong_answer            |
      | a write to another tenant's database is answered   | wrong_answer            |
      | a write to another tenant's database is overloaded | wrong_answer            |
      | a write to another tenant's database is unknown    | wrong_answer            |

  Scenario: a write that is refused and absent is no violation
    Given the journal fault "a write is refused truly"
    Then the demonstration checker counts nothing

  Scenario: a write to another tenant's database that is not authorized is no violation
    Given the journal fault "a write to another tenant's database is not authorized"
    Then the demonstration checker counts nothing
    And the demonstration checker counts no refusal

  Scenario: the write gap lasts from the last write of one primary to the first of the next
    Given journal writes at a until 10.0 s and at b from 10.8 s
    Then the write gap after 9.0 s is 0.8 s
    And the write gap after 11.0 s is not found

  Scenario: a workload is determined by its seed
    Then the workloads of one seed are equal and that of another differs

  Scenario Outline: the recorded workload is that of its seed and uses only granted rights
    Then the recorded workload of "<deployment>" is generated from the seed 1
    And every step of the recorded workload of "<deployment>" is granted
    And "<deployment>" has <tries> attempts on databases of other tenants, none of them granted

    Examples:
      | deployment  | tries |
      | karamanlis  | 0     |
      | sleevecraft | 6     |

  Scenario Outline: the command fails only on violations
    Given a demonstration report with 1 in "<key>"
    Then the demonstration command exits with <status>

    Examples:
      | key                 | status |
      | lost                | 1      |
      | doubled             | 1      |
      | mixed               | 1      |
      | wrong_answer        | 1      |
      | ryw_violations      | 1      |
      | false_not_run       | 1      |
      | cut_by_planned_stop | 1      |
      | stale_beyond_target | 0      |
      | refused             | 0      |
      | unknown             | 0      |

  Scenario: the report has exactly the documented keys
    Given a demonstration report with 1 in "answered"
    Then the demonstration report's keys are these
      """
      answered refused unknown lost doubled mixed wrong_answer
      ryw_violations stale_beyond_target false_not_run cut_by_planned_stop
      replica_read_share failover_gap_s return_gap_s config_in_force_s
      classes
      """

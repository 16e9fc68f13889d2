Feature: Checker of the demonstration
  The checker must see each fault that the report counts.

  Background:
    Given a standins journal without faults

  Scenario: a run without faults has no violation
    Then the standins checker counts nothing

  Scenario Outline: a fault is counted
    Given the standins fault "<fault>"
    Then the standins checker counts only <key>

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
    Given the standins fault "a write is refused truly"
    Then the standins checker counts nothing

  Scenario: a write to another tenant's database that is not authorized is no violation
    Given the standins fault "a write to another tenant's database is not authorized"
    Then the standins checker counts nothing
    And the standins checker counts no refusal

  Scenario: the gap is between the last write of one primary and the first of the next
    Given standins writes at a until 10.0 s and at b from 10.8 s
    Then the standins write gap after 9.0 s is 0.8 s
    And the standins write gap after 11.0 s is not seen

  Scenario: the recording is drawn from its seed
    Then the standins recordings of one seed are equal and of another are not

  Scenario Outline: the recording is the one of its seed and keeps to the rights
    Then the standins recording of "<deployment>" is drawn from the seed 1
    And every standins step of "<deployment>" is granted
    And "<deployment>" has <tries> standins tries, none of them granted

    Examples:
      | deployment  | tries |
      | karamanlis  | 0     |
      | sleevecraft | 6     |

  Scenario Outline: the command fails by what must not happen alone
    Given a standins report with 1 in "<key>"
    Then the standins command ends with <status>

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

  Scenario: the report has the keys of its page and no other
    Given a standins report with 1 in "answered"
    Then the standins report's keys are these
      """
      answered refused unknown lost doubled mixed wrong_answer
      ryw_violations stale_beyond_target false_not_run cut_by_planned_stop
      replica_read_share failover_gap_s return_gap_s config_in_force_s
      classes
      """

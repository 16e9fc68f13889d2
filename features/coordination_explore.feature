Feature: Bounded exploration of promotion and handover
  All orders of the steps of two coordinators and three members are
  explored within a bound, including one outage and lost answers.

  Scenario Outline: exploration: no state within the bound <bound> breaks a rule
    When the coordination is explored within the bound "<bound>"
    Then the exploration has reached every state
    And the exploration has reached a change of the primary
    And the exploration breaks no rule

    Examples:
      | bound          |
      | small          |
      | without-writes |

  Scenario Outline: exploration: the deliberate fault <fault> is detected
    When the coordination with the fault "<fault>" is explored within the bound "<bound>" for "<rule>"
    Then the exploration breaks the rule "<rule>"

    Examples:
      | fault        | bound          | rule                    |
      | no-majority  | small          | nothing-lost            |
      | shortest-log | small          | nothing-lost            |
      | one-copy     | small          | no-late-acknowledgement |
      | shared-terms | without-writes | one-lead                |

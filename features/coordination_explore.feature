Feature: Bounded exploration of promotion and handover
  Every order of the steps of two coordinators, three members, one
  outage and lost answers is tried within a bound.

  Scenario Outline: exploration: every state within the bound <bound> is sound
    When the coordination is explored within the bound "<bound>"
    Then the exploration has seen every state
    And it has seen a change of primary
    And no rule of the exploration is broken

    Examples:
      | bound          |
      | small          |
      | without-writes |

  Scenario Outline: exploration: the fault <fault> is found out
    When the coordination with the fault "<fault>" is explored within the bound "<bound>" for "<rule>"
    Then the exploration breaks the rule "<rule>"

    Examples:
      | fault        | bound          | rule                    |
      | no-majority  | small          | nothing-lost            |
      | shortest-log | small          | nothing-lost            |
      | one-copy     | small          | no-late-acknowledgement |
      | shared-terms | without-writes | one-lead                |

Feature: Declarations are changed from the command line
  A change is applied as a whole or not at all, and the command reports
  the correct outcome also when the answer of the service was lost.

  Background:
    Given a command line with the platform's service

  Scenario: declarations are applied and shown
    When the command "apply examples/karamanlis.json --json" is run
    Then the command exits with 0
    And the command's JSON has "applied" at "outcome"
    And the command's JSON has 1 at "revision"
    When the command "show --json" is run
    Then the command's JSON has 2000 at "declarations.classes.lookup.freshness.age_ms"

  Scenario: shown declarations can be applied again
    Given the command "apply examples/sleevecraft.json" was run
    When the shown declarations are applied
    Then the command exits with 0
    And the shown declarations are the same as before

  Scenario: invalid declarations are refused before the service is called
    When the command "apply" is run on the declarations
      """
      {"classes": {"a": {"work": "read", "weight": 1}}, "tenants": {}}
      """
    Then the command exits with 1
    And the command's output has "$.classes.a.weight: derived-key"
    And the command's output has "$.classes.a.promptness: missing-key"
    And the command has made no call to the service

  Scenario: a ledger that the platform does not list is refused
    Given the platform's service lists the ledger "shared-ledger"
    When the command "apply examples/karamanlis.json" is run
    Then the command exits with 1
    And the command's output has "$.tenants.karamanlis.ledgers.register-ledger: unknown-ledger"
    And no declarations are in force

  Scenario: an unexpected revision is a conflict
    Given the command "apply examples/karamanlis.json" was run
    When the command "apply examples/karamanlis.json --expect-revision 0 --json" is run
    Then the command exits with 1
    And the command's JSON has "not-applied" at "outcome"
    And the command's JSON has "change-conflict" at "failure.code"
    When the command "apply examples/karamanlis.json --expect-revision 1" is run
    Then the command exits with 0

  Scenario: the second of two concurrent changes is reported as not applied
    Given the command "apply examples/karamanlis.json" was run
    And another operator changes the declarations after the next read
    When the command "targets set lookup --age-ms 900 --json" is run
    Then the command exits with 1
    And the command's JSON has "not-applied" at "outcome"
    When the command "targets set lookup --age-ms 900 --json" is run
    Then the command exits with 0
    And the other operator's change is still in force

  Scenario Outline: a lost answer is resolved by the change id
    Given the fault of the service's next write is <fault>
    When the command "apply examples/karamanlis.json --json" is run
    Then the command exits with 0
    And the command's JSON has "applied" at "outcome"
    And the command's JSON has 1 at "revision"

    Examples:
      | fault       |
      | lost-before |
      | lost-after  |

  Scenario: a change is not applied while the service is down
    Given the service is down for the command line
    When the command "apply examples/karamanlis.json --json" is run
    Then the command exits with 1
    And the command's JSON has "not-applied" at "outcome"

  Scenario: an unknown outcome is resolved when the change is repeated with its id
    Given the fault of the service's next write is lost-after
    And the service goes down after the next write
    When the command "apply examples/karamanlis.json --json" is run
    Then the command exits with 1
    And the command's JSON has "unknown" at "outcome"
    When the command "apply examples/karamanlis.json --json" is run with the same change id
    Then the command exits with 1
    And the command's JSON has "unknown" at "outcome"
    When the service is up again for the command line
    And the command "apply examples/karamanlis.json --json" is run with the same change id
    Then the command exits with 0
    And the command's JSON has 1 at "revision"

  Scenario: targets are shown and changed
    Given the command "apply examples/karamanlis.json" was run
    When the command "targets set filing --within-ms 3000 --copies 3" is run
    Then the command exits with 0
    When the command "targets get filing --json" is run
    Then the command's JSON has 3000 at "classes.filing.promptness.within_ms"
    And the command's JSON has 0.99 at "classes.filing.promptness.share"
    And the command's JSON has 3 at "classes.filing.safety.copies"

  Scenario Outline: an invalid change of a target is refused
    Given the command "apply examples/karamanlis.json" was run
    When the command "targets set <arguments>" is run
    Then the command exits with <code>
    And the command's output has "<text>"

    Examples:
      | arguments                                 | code | text                                             |
      | filing --copies 1                         | 1    | $.classes.filing.safety.copies: out-of-range     |
      | filing --age-ms 5                         | 1    | $.classes.filing.freshness: not-applicable       |
      | lookup --share 1.5                        | 1    | $.classes.lookup.promptness.share: out-of-range  |
      | ghost --share 0.5                         | 1    | unknown-class                                    |
      | filing                                    | 2    | name at least one target                         |
      | lookup --age-ms 5 --freshness session     | 2    | exclude each other                               |

  Scenario: a stop is planned, listed and cancelled
    Given the command "apply examples/karamanlis.json" was run
    When the command "stop plan cooling --ledger register-ledger --zone gr-north-b" is run
    Then the command exits with 0
    When the command "stop plan cooling --ledger register-ledger --zone gr-north-c" is run
    Then the command exits with 1
    And the command's output has "stop-name-in-use"
    When the command "stop list" is run
    Then the command's output has "cooling: register-ledger in gr-north-b"
    When the command "apply examples/karamanlis.json" is run
    And the command "stop list" is run
    Then the command's output has "cooling: register-ledger in gr-north-b"
    When the command "stop cancel cooling" is run
    Then the command exits with 0
    When the command "stop cancel cooling" is run
    Then the command exits with 1
    And the command's output has "unknown-stop"

  Scenario: a cancellation whose answer was lost is repeated with its change id
    Given the command "apply examples/karamanlis.json" was run
    And the command "stop plan cooling --ledger register-ledger --zone gr-north-b" was run
    And the fault of the service's next write is lost-after
    And the service goes down after the next write
    When the command "stop cancel cooling --json" is run
    Then the command's JSON has "unknown" at "outcome"
    When the service is up again for the command line
    And the command "stop cancel cooling --json" is run with the same change id
    Then the command exits with 0
    And the command's JSON has 3 at "revision"

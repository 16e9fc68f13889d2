Feature: Request pipeline
  A refusal that says "not run" is true, and what may not be repeated
  runs at most once.

  Scenario Outline: a request that may not be served is refused by type
    Given a pipeline with the tenants "north" and "south"
    When "<tenant>" sends a request of class "<class>" to "<database>" with <token>
    Then the pipeline refuses it as "<code>", not run

    Examples:
      | tenant | class   | database | token                         | code              |
      | west   | filing  | ledger/0 | no token                      | not-authenticated |
      | north  | unheard | ledger/0 | no token                      | unknown-class     |
      | north  | filing  | ledger/9 | no token                      | unknown-database  |
      | south  | filing  | ledger/0 | no token                      | not-authorized    |
      | north  | filing  | other/0  | no token                      | not-authorized    |
      | north  | filing  | ledger/0 | a forged token                | invalid-token     |
      | north  | filing  | ledger/0 | an altered token              | invalid-token     |
      | north  | filing  | ledger/0 | a token of the other tenant   | invalid-token     |
      | north  | filing  | ledger/0 | a token of another deployment | invalid-token     |

  Scenario: a draining host refuses new requests
    Given a pipeline with the tenants "north" and "south"
    And its host drains
    When "north" sends a request of class "filing" to "ledger/0" with no token
    Then the pipeline refuses it as "draining", not run

  Scenario Outline: a write settles truly whatever happens to its answers
    Given a pooler that answers a write: <answers>
    When the pipeline delivers the write
    Then its outcome is "<outcome>"
    And every message about it carried the same key

    Examples:
      | answers                              | outcome         |
      | ran                                  | answered        |
      | lost, kept                           | answered        |
      | not-primary, ran                     | answered        |
      | writes-paused, writes-paused, ran    | answered        |
      | lost, not-primary, kept              | answered        |
      | outcome-unknown, kept                | answered        |
      | statement-failed                     | refused not-run |
      | overloaded                           | refused not-run |
      | not-primary                          | refused not-run |
      | lost, not-run                        | refused not-run |
      | lost, statement-failed, not-run      | refused not-run |
      | lost, statement-failed, kept         | answered        |
      | lost, overloaded, lost               | refused unknown |
      | lost                                 | refused unknown |

  Scenario: a pipeline that does not settle lost answers is caught
    Given a pooler that answers a write: lost, statement-failed, kept
    And a pipeline that takes the last refusal for the outcome
    When the pipeline delivers the write
    Then its outcome is "refused not-run"
    And that is false, since the write has run

  Scenario: a read without an answer has not run
    Given a pooler that answers a read: lost
    When the pipeline delivers the read
    Then its outcome is "refused not-run"

  Scenario Outline: a host that is cut off lets its callers go elsewhere
    Given a pooler that answers a <kind>: <answers>
    And its zone is cut off
    When the pipeline delivers the <kind>
    Then its outcome is "<outcome>"
    And the caller waited less than 0.5 s

    Examples:
      | kind  | answers      | outcome         |
      | write | lost         | refused unknown |
      | write | not-primary  | refused not-run |
      | write | ran          | answered        |
      | read  | lost         | refused not-run |
      | read  | ran          | answered        |

  Scenario Outline: a write asks for a majority of copies at the least
    Given a pooler that answers a write: ran
    And its database has <members> members
    When the pipeline delivers the write
    Then the pooler was asked for <copies> copies

    Examples:
      | members | copies |
      | 3       | 2      |
      | 5       | 3      |

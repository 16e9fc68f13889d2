Feature: Request pipeline
  A request refused as "not run" has never run, and a request that must
  not be repeated runs at most once.

  Scenario Outline: an invalid request is refused with a typed failure
    Given a pipeline with the tenants "north" and "south"
    When "<tenant>" sends a request of class "<class>" to "<database>" with <token>
    Then the pipeline refuses the request as "<code>", not run

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
    And the host is draining
    When "north" sends a request of class "filing" to "ledger/0" with no token
    Then the pipeline refuses the request as "draining", not run

  Scenario Outline: a write's outcome is reported correctly when answers are lost
    Given a pooler that answers a write: <answers>
    When the pipeline delivers the write
    Then the reported outcome is "<outcome>"
    And every message for the write carried the same outcome key

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

  Scenario: a pipeline that does not resolve lost answers is detected
    Given a pooler that answers a write: lost, statement-failed, kept
    And a pipeline that reports the last refusal as the outcome
    When the pipeline delivers the write
    Then the reported outcome is "refused not-run"
    And the reported outcome is wrong because the write has run

  Scenario: a read without an answer is refused as not run
    Given a pooler that answers a read: lost
    When the pipeline delivers the read
    Then the reported outcome is "refused not-run"

  Scenario Outline: a host that is cut off refuses early so that callers try another host
    Given a pooler that answers a <kind>: <answers>
    And the host's zone is cut off
    When the pipeline delivers the <kind>
    Then the reported outcome is "<outcome>"
    And the caller waited less than 0.5 s

    Examples:
      | kind  | answers      | outcome         |
      | write | lost         | refused unknown |
      | write | not-primary  | refused not-run |
      | write | ran          | answered        |
      | read  | lost         | refused not-run |
      | read  | ran          | answered        |

  Scenario Outline: a write requires copies on a majority of members
    Given a pooler that answers a write: ran
    And the write's database has <members> members
    When the pipeline delivers the write
    Then the message to the pooler requires <copies> copies

    Examples:
      | members | copies |
      | 3       | 2      |
      | 5       | 3      |

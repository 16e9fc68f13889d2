Feature: The client repeats only what may be repeated
  A request takes effect at most once, "not run" is true, and a session
  goes on at another entry host.

  Background:
    Given a client of 2 entry hosts

  Scenario Outline: a write whose host dies runs once
    Given the client's host breaks at "Execute" <moment>
    When the client runs "insert" on its own
    Then the client gets an answer
    And the database has run "insert" 1 times
    And the client has moved to another host
    And every attempt of the client had the same request id

    Examples:
      | moment             |
      | before it is taken |
      | after it has run   |

  Scenario: a draining host is left at once for another
    Given the client's host refuses "Execute" with "draining"
    When the client runs "insert" on its own
    Then the client gets an answer
    And the client has moved to another host
    And the client has not paused

  Scenario: a refusal that may be repeated is repeated after a pause
    Given the client's host refuses "Execute" with "no-upstream"
    When the client runs "insert" on its own
    Then the client gets an answer
    And the client has paused 1 times

  Scenario: a refusal in overload is not repeated
    Given the client's host refuses "Execute" with "overloaded"
    When the client runs "insert" on its own
    Then the client gets the error "OverloadedError" with "overloaded" and "not-run"
    And the client has sent "Execute" 1 times

  Scenario: a refusal of a repeat says nothing of the first attempt
    Given the client's host breaks at "Execute" after it has run
    And every other host refuses "Execute" with "no-upstream" for ever
    And the client's host refuses "Execute" with "no-upstream" for ever
    When the client runs "insert" on its own
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"
    And the error tells the request id under which "insert" ran

  Scenario: a doubtful "not run" is settled by a look-up
    Given the client's host breaks at "Execute" after it has run
    And the other host refuses "Execute" with "not-run"
    When the client runs "insert" on its own
    Then the client gets an answer
    And the database has run "insert" 1 times

  Scenario: a request that was abandoned is repeated under a new id
    Given the client's host breaks at "Execute" before it is taken
    And the other host refuses "Execute" with "not-run"
    When the client runs "insert" on its own
    Then the client gets an answer
    And the database has run "insert" 1 times
    And the abandoned request id never runs

  Scenario: a program's own request id is never replaced
    Given the client's host refuses "Execute" with "not-run"
    When the client runs "insert" on its own as "order-7"
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the client has sent "Execute" 1 times

  Scenario: attempts end within the deadline
    Given every host refuses "Execute" with "no-upstream" for ever
    When the client runs "insert" on its own
    Then the client gets the error "NotRunError" with "no-upstream" and "not-run"
    And the client has waited at most 10 seconds
    And the client has sent "Execute" at most 16 times

  Scenario: a request over which every host went down stays unknown
    Given every host of the client is down
    When the client runs "insert" on its own
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"

  Scenario: a request that no host could be reached for has not run
    Given every host of the client is down
    And the client runs "insert" on its own
    When the client runs "insert" on its own
    Then the client gets the error "NotRunError" with "host-unreachable" and "not-run"

  Scenario: a client leaves a host that goes on refusing
    Given the client's host refuses "Execute" with "no-upstream" for ever
    When the client runs "insert" on its own
    Then the client gets an answer
    And the client has moved to another host
    And the client has sent "Execute" 5 times

  Scenario: an answer of another kind closes the connection
    Given the client's host answers "Execute" with a message of another kind
    When the client runs "insert" on its own
    Then the client gets an answer
    And the database has run "insert" 1 times
    And the client has moved to another host

  Scenario Outline: each typed refusal has its exception
    Given the client's host refuses "Execute" with "<code>"
    When the client runs "insert" on its own
    Then the client gets the error "<error>" with "<code>" and "<run state>"
    And the client has sent "Execute" 1 times

    Examples:
      | code              | error                 | run state |
      | malformed-message | MalformedMessageError | not-run   |
      | message-too-large | MessageTooLargeError  | not-run   |
      | not-authenticated | NotAuthenticatedError | not-run   |
      | not-authorized    | NotAuthorizedError    | not-run   |
      | unknown-class     | UnknownClassError     | not-run   |
      | unknown-database  | UnknownDatabaseError  | not-run   |
      | invalid-token     | InvalidTokenError     | not-run   |
      | request-id-reused | RequestIdReusedError  | not-run   |
      | statement-failed  | StatementFailedError  | not-run   |
      | result-too-large  | ResultTooLargeError   | run       |

  Scenario Outline: other refusals are told by what they say of the run
    Given every host refuses "Execute" with "<code>" for ever
    When the client runs "insert" on its own
    Then the client gets the error "<error>" with "<told>" and "<run state>"

    Examples:
      | code             | error                | told             | run state |
      | replica-behind   | NotRunError          | replica-behind   | not-run   |
      | not-primary      | NotRunError          | not-primary      | not-run   |
      | writes-paused    | NotRunError          | writes-paused    | not-run   |
      | stale-term       | NotRunError          | stale-term       | not-run   |
      | draining         | NotRunError          | draining         | not-run   |
      | transaction-lost | TransactionLostError | transaction-lost | not-run   |
      | outcome-unknown  | OutcomeUnknownError  | outcome-unknown  | unknown   |
      | peer-unreachable | OutcomeUnknownError  | outcome-unknown  | unknown   |

  Scenario: wrong credentials are told when connecting
    Given every host refuses "Hello" with "not-authenticated" for ever
    When the client connects
    Then the client gets the error "NotAuthenticatedError" with "not-authenticated" and "not-run"

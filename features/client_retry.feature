Feature: Retries of the client
  A request takes effect at most once, a request reported as "not run" has
  never run, and a session continues at another entry host.

  Background:
    Given a client of 2 entry hosts

  Scenario Outline: a write runs once when its host fails
    Given the client's host breaks its connection at "Execute" <moment>
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the database has run "insert" 1 times
    And the client is connected to another host
    And every attempt of the client had the same request id

    Examples:
      | moment             |
      | before it is taken |
      | after it has run   |

  Scenario: the client moves from a draining host to another without a pause
    Given the client's host refuses the next "Execute" with "draining"
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the client is connected to another host
    And the client has not paused

  Scenario: a request is repeated after a pause when its refusal allows it
    Given the client's host refuses the next "Execute" with "no-upstream"
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the client has paused 1 times

  Scenario: a request that is refused as overloaded is not repeated
    Given the client's host refuses the next "Execute" with "overloaded"
    When the client runs "insert" as a single statement
    Then the client gets the error "OverloadedError" with "overloaded" and "not-run"
    And the client has sent "Execute" 1 times

  Scenario: a refused repeat does not settle the outcome of the first attempt
    Given the client's host breaks its connection at "Execute" after it has run
    And every other host always refuses "Execute" with "no-upstream"
    And the client's host always refuses "Execute" with "no-upstream"
    When the client runs "insert" as a single statement
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"
    And the error has the request id under which "insert" ran

  Scenario: a look-up settles a "not run" that may concern only the last attempt
    Given the client's host breaks its connection at "Execute" after it has run
    And the other host refuses the next "Execute" with "not-run"
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the database has run "insert" 1 times

  Scenario: an abandoned request is repeated under a new request id
    Given the client's host breaks its connection at "Execute" before it is taken
    And the other host refuses the next "Execute" with "not-run"
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the database has run "insert" 1 times
    And no write has run under the abandoned request id

  Scenario: a request id that the application has set is never replaced
    Given the client's host refuses the next "Execute" with "not-run"
    When the client runs "insert" as a single statement with the request id "order-7"
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the client has sent "Execute" 1 times

  Scenario: attempts end within the deadline
    Given every host always refuses "Execute" with "no-upstream"
    When the client runs "insert" as a single statement
    Then the client gets the error "NotRunError" with "no-upstream" and "not-run"
    And the client has waited at most 10 seconds
    And the client has sent "Execute" at most 16 times

  Scenario: the outcome is unknown when every host fails during a request
    Given every host of the client is down
    When the client runs "insert" as a single statement
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"

  Scenario: a request has not run when no host can be reached
    Given every host of the client is down
    And the client runs "insert" as a single statement
    When the client runs "insert" as a single statement
    Then the client gets the error "NotRunError" with "host-unreachable" and "not-run"

  Scenario: the client moves from a host that keeps refusing
    Given the client's host always refuses "Execute" with "no-upstream"
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the client is connected to another host
    And the client has sent "Execute" 5 times

  Scenario: an answer of another type closes the connection
    Given the client's host answers "Execute" with a message of another type
    When the client runs "insert" as a single statement
    Then the client gets an answer
    And the database has run "insert" 1 times
    And the client is connected to another host

  Scenario Outline: each refusal code raises its exception
    Given the client's host refuses the next "Execute" with "<code>"
    When the client runs "insert" as a single statement
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

  Scenario Outline: other refusals raise the exception of their run state
    Given every host always refuses "Execute" with "<code>"
    When the client runs "insert" as a single statement
    Then the client gets the error "<error>" with "<reported>" and "<run state>"

    Examples:
      | code             | error                | reported         | run state |
      | replica-behind   | NotRunError          | replica-behind   | not-run   |
      | not-primary      | NotRunError          | not-primary      | not-run   |
      | writes-paused    | NotRunError          | writes-paused    | not-run   |
      | stale-term       | NotRunError          | stale-term       | not-run   |
      | draining         | NotRunError          | draining         | not-run   |
      | transaction-lost | TransactionLostError | transaction-lost | not-run   |
      | outcome-unknown  | OutcomeUnknownError  | outcome-unknown  | unknown   |
      | peer-unreachable | OutcomeUnknownError  | outcome-unknown  | unknown   |

  Scenario: wrong credentials raise an error on connecting
    Given every host always refuses "Hello" with "not-authenticated"
    When the client connects
    Then the client gets the error "NotAuthenticatedError" with "not-authenticated" and "not-run"

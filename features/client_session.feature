Feature: Sessions and transactions of the client
  A session continues on other connections with its token. A transaction
  ends with its connection and takes effect as a whole or not at all.

  Background:
    Given a client of 2 entry hosts

  Scenario: each request carries the newest token
    When the client runs "insert" as a single statement
    And the client runs "select" as a single statement
    Then the client's requests carried the tokens "new-session, token-1"

  Scenario: a session continues on another connection
    When the client runs "insert" as a single statement
    And another connection continues the session with its token
    And the client runs "select" as a single statement
    Then the client's requests carried the tokens "new-session, token-1"

  Scenario: a transaction begins with its first statement
    When the client runs "insert a" in a transaction
    And the client runs "insert b" in a transaction
    And the client commits
    Then the database has run "insert a, insert b" 1 times
    And the client has sent "Begin" 1 times

  Scenario: a context manager that exits with an error rolls back
    When the client runs "insert a" in a context manager that fails
    Then the database has run nothing
    And the client has sent "Rollback" 1 times

  Scenario: a context manager that exits without an error commits
    When the client runs "insert a" in a context manager that succeeds
    Then the database has run "insert a" 1 times

  Scenario: the whole transaction is lost when its host fails between statements
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "Execute" after it has run
    When the client runs "insert b" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    When the client runs "insert c" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    When the client commits
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the database has run nothing

  Scenario: a refused statement ends its transaction
    Given the client runs "insert a" in a transaction
    And the client's host refuses the next "Execute" with "overloaded"
    And the client runs "insert b" in a transaction
    When the client runs "insert c" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the client has sent "Rollback" 1 times

  Scenario: a transaction does not move to a new connection
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "LookUp" before it is taken
    When the client looks up the request "order-7"
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the client is connected to another host
    When the client commits
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the client has sent "Commit" 0 times
    And the database has run nothing

  Scenario: an application can continue after it has rolled back a lost transaction
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "Execute" before it is taken
    And the client runs "insert b" in a transaction
    When the client rolls back
    And the client runs "insert a" in a transaction
    And the client commits
    Then the database has run "insert a" 1 times

  Scenario: the outcome of a commit is looked up when its answer is lost
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "Commit" after it has run
    When the client commits
    Then the client gets no error
    And the database has run "insert a" 1 times
    And the client has sent "LookUp" 1 times

  Scenario: a commit that never arrived is reported as not run
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "Commit" before it is taken
    When the client commits
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the database has run nothing

  Scenario: a commit stays unknown until its outcome can be looked up
    Given the client runs "insert a" in a transaction
    And the client's host breaks its connection at "Commit" after it has run
    And every host always refuses "LookUp" with "no-upstream"
    When the client commits
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"
    When the hosts stop refusing requests
    And the client looks up the error's request
    Then the client gets an answer

  Scenario: a statement that fails leaves its transaction open
    Given the client runs "insert a" in a transaction
    And the client's host refuses the next "Execute" with "statement-failed"
    And the client runs "insert b" in a transaction
    When the client commits
    Then the client gets no error
    And the database has run "insert a" 1 times

  Scenario: a refused commit leaves no transaction open at the host
    Given the client runs "insert a" in a transaction
    And the client's host refuses the next "Commit" with "overloaded"
    When the client commits
    Then the client gets the error "OverloadedError" with "overloaded" and "not-run"
    And no transaction is open at any host of the client

  Scenario Outline: incorrect use raises an error before a message is sent
    When the client <call>
    Then the client gets the error "<error>" with "<code>" and "not-run"

    Examples:
      | call                                       | error            | code   |
      | passes a parameter of an unknown type      | ProgrammingError | usage  |
      | passes parameters as a text                | ProgrammingError | usage  |
      | fetches before a statement                 | ProgrammingError | usage  |
      | changes the class inside a transaction     | ProgrammingError | usage  |
      | changes the token inside a transaction     | ProgrammingError | usage  |
      | is used after it was closed                | ClosedError      | closed |
      | connects to "nowhere"                      | InterfaceError   | usage  |
      | connects to "10.0.0.1:99999"               | InterfaceError   | usage  |

  Scenario: rows are fetched as PEP 249 defines
    When the client runs "insert" as a single statement
    Then the client's cursor has the columns "n" and 1 rows
    And the client's cursor returns the row 1 and then no row

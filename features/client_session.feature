Feature: Sessions and transactions of the client
  A session roams with its token; a transaction never outlives its
  connection and never loses a part.

  Background:
    Given a client of 2 entry hosts

  Scenario: the newest token goes with the next request
    When the client runs "insert" on its own
    And the client runs "select" on its own
    Then the client's requests carried the tokens "new-session, token-1"

  Scenario: a session goes on in another connection
    When the client runs "insert" on its own
    And another client goes on with the session
    And the client runs "select" on its own
    Then the client's requests carried the tokens "new-session, token-1"

  Scenario: a transaction begins with its first statement
    When the client runs "insert a" in a transaction
    And the client runs "insert b" in a transaction
    And the client commits
    Then the database has run "insert a, insert b" 1 times
    And the client has sent "Begin" 1 times

  Scenario: a connection left with an error rolls back
    When the client runs "insert a" in a block that fails
    Then the database has run nothing
    And the client has sent "Rollback" 1 times

  Scenario: a connection left in good order commits
    When the client runs "insert a" in a block that succeeds
    Then the database has run "insert a" 1 times

  Scenario: a host that dies between statements loses the transaction whole
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "Execute" after it has run
    When the client runs "insert b" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    When the client runs "insert c" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    When the client commits
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the database has run nothing

  Scenario: a transaction ends with a refused statement
    Given the client runs "insert a" in a transaction
    And the client's host refuses "Execute" with "overloaded"
    And the client runs "insert b" in a transaction
    When the client runs "insert c" in a transaction
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the client has sent "Rollback" 1 times

  Scenario: a transaction does not move to a new connection
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "LookUp" before it is taken
    When the client looks "order-7" up
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the client has moved to another host
    When the client commits
    Then the client gets the error "TransactionLostError" with "transaction-lost" and "not-run"
    And the client has sent "Commit" 0 times
    And the database has run nothing

  Scenario: a program goes on after it has rolled a lost transaction back
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "Execute" before it is taken
    And the client runs "insert b" in a transaction
    When the client rolls back
    And the client runs "insert a" in a transaction
    And the client commits
    Then the database has run "insert a" 1 times

  Scenario: a commit whose answer is lost is looked up
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "Commit" after it has run
    When the client commits
    Then the client gets no error
    And the database has run "insert a" 1 times
    And the client has sent "LookUp" 1 times

  Scenario: a commit that never arrived is known not to have run
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "Commit" before it is taken
    When the client commits
    Then the client gets the error "NotRunError" with "not-run" and "not-run"
    And the database has run nothing

  Scenario: a commit that nobody can settle stays unknown
    Given the client runs "insert a" in a transaction
    And the client's host breaks at "Commit" after it has run
    And every host refuses "LookUp" with "no-upstream" for ever
    When the client commits
    Then the client gets the error "OutcomeUnknownError" with "outcome-unknown" and "unknown"
    When the hosts serve again
    And the client looks the error's request up
    Then the client gets an answer

  Scenario: a statement that fails leaves its transaction open
    Given the client runs "insert a" in a transaction
    And the client's host refuses "Execute" with "statement-failed"
    And the client runs "insert b" in a transaction
    When the client commits
    Then the client gets no error
    And the database has run "insert a" 1 times

  Scenario: a refused commit leaves nothing open at the host
    Given the client runs "insert a" in a transaction
    And the client's host refuses "Commit" with "overloaded"
    When the client commits
    Then the client gets the error "OverloadedError" with "overloaded" and "not-run"
    And no transaction is open at any host of the client

  Scenario Outline: wrong use is refused before anything is sent
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

  Scenario: rows are fetched as PEP 249 says
    When the client runs "insert" on its own
    Then the client's cursor has the columns "n" and 1 rows
    And the client's cursor gives the row 1 and then nothing

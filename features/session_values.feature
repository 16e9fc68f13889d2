Feature: Session values at a member that fails requests

  # Guards against statements that run without their session's values where the
  # member has failed SET, RESET or PREPARE (PINNED).
  Scenario Outline: a statement runs with its session's values or not at all
    Given an emulated deployment of 1 hosts
    And a session that has set a value and prepared a statement
    And another session that has used the connection with other values
    When the primary fails the next <verb>
    And that session runs "<text>"
    Then the primary has failed one <verb>
    And the statement has run once, with the values and the shape of the session

    Examples:
      | verb    | text          |
      | SET     | WRITE i data  |
      | RESET   | WRITE i data  |
      | PREPARE | EXEC s1 i new |
      | SET     | EXEC s1 i new |

  Scenario Outline: the first statement of a transaction runs with its values
    Given an emulated deployment of 1 hosts
    And a session that has set a value and prepared a statement
    And another session that has used the connection with other values
    When the primary fails the next <verb>
    And that session runs "EXEC s1 i new" in a transaction
    Then the primary has failed one <verb>
    And the statement has run once, with the values and the shape of the session

    Examples:
      | verb    |
      | SET     |
      | RESET   |
      | PREPARE |

  # Guards against a read that was given up, and is sent with values that the
  # session has changed since.
  Scenario: a statement that is given up during the set-up is not sent
    Given a connection whose member takes its time to confirm values
    When a statement is given up before they are confirmed
    Then the member has got the values only

  # Guards against a read that is over and cancels the next request on its
  # connection.
  Scenario: the end of a hedged read does not cancel the next request
    Given a connection whose member takes its time to confirm values
    When a hedged read is answered while its last request ends
    Then the connection serves the next request

  # Guards against a COMMIT without the values that the session has set since
  # its last statement.
  Scenario: a COMMIT runs with the values that were set before it
    Given an emulated deployment of 1 hosts
    And a session that has set a value and prepared a statement
    When that session runs "WRITE i data" in an open transaction
    And it sets another value and commits
    Then the COMMIT has run with the values of the session

  Scenario: a COMMIT whose values the member refuses is not run
    Given an emulated deployment of 1 hosts
    And a session that has set a value and prepared a statement
    When that session runs "WRITE i data" in an open transaction
    And the primary fails the next SET
    And it sets another value and commits
    Then the COMMIT has not run, and the session is promised so

  # Guards against a connection that goes back to the pool with an open
  # transaction, in which the next session's statement runs (PINNED).
  Scenario: a connection whose ROLLBACK has failed is not used again
    Given an emulated deployment of 1 hosts
    And a session that has set a value and prepared a statement
    When the primary fails the next ROLLBACK
    And the primary has been read until it has failed one
    And that session runs "WRITE i data"
    Then the statement has run outside any transaction
    And the write is in the log

Feature: Transactions at an entry host
  A transaction belongs to one caller, and the session's token survives it.

  Scenario: writes elsewhere during a transaction stay in the session
    Given a transaction that a caller has begun at "ledger/0"
    When the caller commits it with a token of a write at "other/0"
    Then the answer's token has floors for "ledger/0,other/0"

  Scenario: a commit with a forged token leaves the transaction open
    Given a transaction that a caller has begun at "ledger/0"
    When the caller commits it with a forged token
    Then the transaction's request is refused as "invalid-token"
    And 1 transactions are open at the entry host

  Scenario Outline: nobody else reaches a caller's transaction
    Given a transaction that a caller has begun at "ledger/0"
    When <who> sends a statement in it
    Then the transaction's request is refused as "transaction-lost"

    Examples:
      | who                                       |
      | another connection of the tenant          |
      | a caller of another tenant                |

  Scenario: a statement that ends after its caller has gone leaves nothing
    Given a transaction that a caller has begun at "ledger/0"
    When its caller goes while a statement runs in it
    Then 0 transactions are open at the entry host

  Scenario: a transaction that begins after its caller was refused
    Given a pooler whose answer comes after the caller's time
    When the caller begins a transaction there
    Then the begin is refused as "no-upstream"
    And the late transaction is rolled back at the pooler

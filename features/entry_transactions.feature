Feature: Transactions at an entry host
  A transaction belongs to one caller connection, and its answers carry
  the session token on.

  Scenario: a commit keeps the floors of writes to other databases
    Given a transaction that a caller has opened at "ledger/0"
    When the caller commits the transaction with a token of a write at "other/0"
    Then the answer's token has floors for "ledger/0,other/0"

  Scenario: a commit with a forged token leaves the transaction open
    Given a transaction that a caller has opened at "ledger/0"
    When the caller commits the transaction with a forged token
    Then the transaction's request is refused as "invalid-token"
    And 1 transactions are open at the entry host

  Scenario Outline: only the caller that opened a transaction can use it
    Given a transaction that a caller has opened at "ledger/0"
    When <who> sends a statement of the transaction
    Then the transaction's request is refused as "transaction-lost"

    Examples:
      | who                                       |
      | another connection of the tenant          |
      | a caller of another tenant                |

  Scenario: a transaction ends when its caller disconnects during a statement
    Given a transaction that a caller has opened at "ledger/0"
    When the caller disconnects while a statement of the transaction runs
    Then 0 transactions are open at the entry host

  Scenario: a transaction that begins after its caller was refused is rolled back
    Given a pooler that answers after the caller's deadline
    When the caller begins a transaction at the late pooler
    Then the begin is refused as "no-upstream"
    And the transaction that began late is rolled back at the pooler

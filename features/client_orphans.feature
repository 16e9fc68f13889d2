Feature: A transaction ends with the connection that asked for it
  A transaction without an owner would hold its slot for ever.

  Scenario: a host that dies while its transaction begins leaves no slot held
    Given a pooler whose member has one slot
    When a peer's connection ends while its transaction waits for the slot
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back

  Scenario: a host that lives keeps the transaction that it began
    Given a pooler whose member has one slot
    When another peer's connection ends while a transaction waits for the slot
    Then one transaction is open at the pooler

  Scenario: a host that dies after its transaction began leaves no slot held
    Given a pooler whose member has one slot
    When a peer's connection ends after its transaction began
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back

  Scenario: a transaction that nobody uses gives its slot back
    Given a pooler whose member has one slot
    When a transaction is idle for 1.5 seconds longer than its class's promptness
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back
    And its next statement is told that the transaction is lost

  Scenario: a transaction that is in use goes on
    Given a pooler whose member has one slot
    When a transaction runs a statement shortly before each idle limit
    Then one transaction is open at the pooler

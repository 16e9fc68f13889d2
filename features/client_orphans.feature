Feature: Transactions end with the connection of their owner
  A transaction without an owner would hold its slot forever.

  Scenario: the slot is released when a host fails while its transaction begins
    Given a pooler whose member has one slot
    When a peer's connection ends while its transaction waits for the slot
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back

  Scenario: a transaction stays open when the connection of another host ends
    Given a pooler whose member has one slot
    When another peer's connection ends while a transaction waits for the slot
    Then one transaction is open at the pooler

  Scenario: the slot is released when a host fails after its transaction began
    Given a pooler whose member has one slot
    When a peer's connection ends after its transaction began
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back

  Scenario: an idle transaction is rolled back and its slot released
    Given a pooler whose member has one slot
    When a transaction is idle for 1.5 seconds longer than its class's promptness
    Then no transaction is open at the pooler
    And the member's slot is free and its transaction rolled back
    And the next statement is refused because the transaction is lost

  Scenario: a transaction in use stays open
    Given a pooler whose member has one slot
    When a transaction runs a statement shortly before each idle timeout
    Then one transaction is open at the pooler

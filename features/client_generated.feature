Feature: The client under generated faults
  Whatever breaks and in whatever order, an answer means that the request
  ran once, and "not run" means that it never runs.

  Scenario: single statements
    Given entry hosts that break and refuse in 300 generated orders
    When a client writes through them with single statements
    Then each answered write ran once
    And each write told as not run never ran
    And no write ran twice

  Scenario: transactions
    Given entry hosts that break and refuse in 300 generated orders
    When a client writes through them in transactions
    Then each answered write ran once
    And each write told as not run never ran
    And no write ran twice

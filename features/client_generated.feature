Feature: The client under generated faults
  With any sequence of connection breaks and refusals, an answered request
  has run once and a request reported as "not run" never runs.

  Scenario: single statements
    Given entry hosts with faults in 300 generated sequences
    When a client writes through the hosts with single statements
    Then each answered write ran exactly once
    And no write that was reported as not run has run
    And no write ran twice

  Scenario: transactions
    Given entry hosts with faults in 300 generated sequences
    When a client writes through the hosts in transactions
    Then each answered write ran exactly once
    And no write that was reported as not run has run
    And no write ran twice

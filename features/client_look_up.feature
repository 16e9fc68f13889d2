Feature: A look-up finds an outcome without its content
  A caller whose answer was lost asks by the request id alone.

  Background:
    Given a member that leads its database

  Scenario: the outcome of a write is found by its request id alone
    Given the member has run the write "order-7" with the content "a"
    When the request id "order-7" is looked up at the member
    Then the look-up gives the kept outcome

  Scenario: a request that was looked up in vain never runs
    Given the request id "order-7" is looked up at the member
    When the member is sent the write "order-7" with the content "a"
    Then the member answers "not-run"
    And the member holds no row

  Scenario: other content under a request id is still refused
    Given the member has run the write "order-7" with the content "a"
    When the member is sent the write "order-7" with the content "b"
    Then the member answers "request-id-reused"

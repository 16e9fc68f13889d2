Feature: Look-up of an outcome by its request id
  A caller whose answer was lost can look the outcome up without the
  content of the request.

  Background:
    Given a primary member

  Scenario: the outcome of a write is found by its request id
    Given the member has run the write "order-7" with the content "a"
    When the request id "order-7" is looked up at the member
    Then the look-up returns the stored outcome

  Scenario: a request that was looked up before it arrived never runs
    Given the request id "order-7" is looked up at the member
    When the member is sent the write "order-7" with the content "a"
    Then the member answers "not-run"
    And the member holds no row

  Scenario: a request id with other content is still refused
    Given the member has run the write "order-7" with the content "a"
    When the member is sent the write "order-7" with the content "b"
    Then the member answers "request-id-reused"

Feature: Requests multiplexed over one connection
  A caller gets the whole answer to its own request, and only its own,
  and a fault of one request leaves the connection's others unharmed.

  Scenario: answers that come in another order reach their own requests
    Given a channel whose server answers the later request first
    When 8 requests are sent at once over the channel
    Then each request on the channel got its own answer

  Scenario: a message over the limit is refused and the connection goes on
    Given a channel whose server answers at once
    When a request over the size limit is sent over the channel
    Then it is answered with the refusal "message-too-large"
    And a further request over the channel is answered

  Scenario Outline: bytes that are no message are refused on the open connection
    Given a channel whose server answers at once
    When the frame "<hex>" is sent raw over the channel
    Then the raw frame is answered with the refusal "malformed-message"
    And a further request over the channel is answered

    Examples:
      | hex              |
      | 1903e7           |
      | 1903e76161       |
      | 1903e763666f6fa0 |
      | 1903e76445786563 |

  Scenario: an answer over the limit fails by type and the connection goes on
    Given a channel whose server sends answers over the size limit
    When one request is sent over the channel
    Then it fails as "result-too-large", run
    And the channel is still open

  Scenario: a connection that ends fails the requests that wait on it
    Given a channel whose server closes on each request
    When one request is sent over the channel
    Then it fails as "peer-unreachable", unknown

  Scenario: requests before the greeting are refused
    Given an entry host's connection without a greeting
    When one request is sent over the channel
    Then it is answered with the refusal "not-authenticated"

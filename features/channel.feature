Feature: Requests multiplexed over one connection
  A caller gets the complete answer to its own request and no other. A
  fault of one request does not affect other requests on the connection.

  Scenario: answers in another order are matched to their requests
    Given a channel to a server that answers the later request first
    When 8 requests are sent at once over the channel
    Then each request on the channel has its own answer

  # A compressed channel shares its window between messages, so that a message
  # out of order would break all that follow it.
  Scenario: compressed answers in another order are matched to their requests
    Given a compressed channel to a server that answers the later request first
    When 8 requests are sent at once over the channel
    Then each request on the channel has its own answer

  Scenario: compressed messages that resemble each other take half the bytes
    Given a compressed channel to a server that answers at once
    When 2 requests with statements of 20 letters are sent over the channel
    Then the second request takes at most half the bytes of its message

  Scenario: a server that declines the compression is served without it
    Given a channel that offers compression to a server that declines it
    When one request is sent over the channel
    Then a further request over the channel is answered

  Scenario: a request over the size limit is refused and the connection stays open
    Given a channel to a server that answers at once
    When a request over the size limit is sent over the channel
    Then the request on the channel is answered with the refusal "message-too-large"
    And a further request over the channel is answered

  Scenario Outline: a malformed frame is refused and the connection stays open
    Given a channel to a server that answers at once
    When the frame "<hex>" is sent as raw bytes over the channel
    Then the raw frame is answered with the refusal "malformed-message"
    And a further request over the channel is answered

    Examples:
      | hex              |
      | 1903e7           |
      | 1903e76161       |
      | 1903e763666f6fa0 |
      | 1903e76445786563 |

  Scenario: an answer over the size limit fails and the connection stays open
    Given a channel to a server that sends answers over the size limit
    When one request is sent over the channel
    Then the request on the channel fails as "result-too-large", run
    And the channel is still open

  Scenario: a closed connection fails the requests that wait for answers
    Given a channel to a server that closes on each request
    When one request is sent over the channel
    Then the request on the channel fails as "peer-unreachable", unknown

  Scenario: an answer that arrived together with the end of the connection was lost
    Given a channel to a server that answers and then closes
    When one request is sent over the channel
    Then the request on the channel has the identifier "1" in its answer

  Scenario: a request before the greeting is refused
    Given a channel to an entry host before the greeting
    When one request is sent over the channel
    Then the request on the channel is answered with the refusal "not-authenticated"

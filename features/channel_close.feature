Feature: Closing a connection that is in use
  Every request that was read gets an answer or a refusal before the
  connection closes, and a refused request has not run.

  Scenario: a connection closed before the answer of a request in progress
    Given a channel to a server that holds its answers
    When the server closes the channel while a request is in progress
    Then the request in progress is answered

  Scenario: a connection closed before the refusal of a malformed request
    Given a channel to a server that holds its answers
    When the server closes the channel while the refusal of a malformed request waits
    Then the malformed request is refused

  Scenario: a request that arrived while the connection closed had no answer
    Given a channel to a server that holds its answers
    When the server closes the channel while a request is in progress
    And another request arrives at the closing channel
    Then the late request is refused without being handled
    And the request in progress is answered

  Scenario: a request that arrived before the close frame was handled in vain
    Given a channel to a server that holds its answers
    When the server closes the channel while another message is being sent
    And another request arrives at the closing channel
    Then the late request is refused without being handled

  Scenario Outline: a request that outlasted the close had no answer
    Given a channel to a server that holds its answers
    When the server closes the channel without waiting for a "<request>"
    Then the request in progress is refused as "<code>", <state>

    Examples:
      | request                    | code             | state   |
      | statement                  | outcome-unknown  | unknown |
      | statement in a transaction | transaction-lost | not-run |
      | begin                      | draining         | not-run |
      | commit                     | outcome-unknown  | unknown |
      | rollback                   | transaction-lost | not-run |
      | look-up                    | outcome-unknown  | unknown |

  Scenario: a connection took requests while another one was closing
    Given a channel to a server that holds its answers
    And another channel to the same server
    When the server stops while a request is in progress on each channel
    Then a late request on each channel is refused without being handled

  Scenario: a connection that completed its handshake after the stop was served
    Given a server that is accepting a connection
    When the server stops before the connection sends a request
    Then the server handles no request of the connection

  Scenario: a close with an unread request discarded an answer that was sent
    Given a channel to a server that holds its answers
    When the server answers and closes while a request is unread
    Then the client receives the complete answer

  Scenario: a caller's request that crossed the close frame had an unknown outcome
    Given a channel to a server that holds its answers
    When a caller sends a request after the server's close frame
    Then the caller's request fails as "draining", not-run

  Scenario: a caller's request was taken for not run after its handler had crashed
    Given a channel to a server that holds its answers
    When a caller sends a request whose handler crashes before the close
    Then the caller's request fails as "peer-unreachable", unknown

  Scenario: work that arrived at a closing pooler had an unknown outcome
    When work arrives at a pooler whose channel is closing
    Then the pooler refuses the work as "no-upstream", for another attempt

Feature: Frames on the wire
  Messages survive encoding, and malformed frames are refused with the
  sequence number of their request.

  Scenario: a message survives encoding and decoding
    Given a caller's request with every kind of parameter
    When the request is encoded and decoded
    Then the decoded request equals the original

  Scenario Outline: a malformed frame is refused with its sequence number
    When the frame "<hex>" is decoded
    Then the frame is refused as malformed
    And the frame's sequence number is <sequence>

    Examples:
      | hex            | sequence |
      | 07             | 7        |
      | 0763466f6fa0   | 7        |
      | ff             | 0        |
      | 6161           | 0        |

  Scenario: a failure read from the wire has the class that was sent
    When the failure "replica-behind" is read from the wire
    Then the failure is of the class that the delivery filter tests for

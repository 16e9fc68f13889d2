Feature: Frames on the wire
  Each caller gets the whole answer to its own request, and only that.

  Scenario: a message survives encoding and decoding
    Given a caller's request with every kind of parameter
    When it is encoded and decoded
    Then the same request comes out

  Scenario Outline: a malformed frame is refused with its sequence number
    When the frame "<hex>" is decoded
    Then it is refused as malformed
    And its sequence number is <sequence>

    Examples:
      | hex            | sequence |
      | 07             | 7        |
      | 0763466f6fa0   | 7        |
      | ff             | 0        |
      | 6161           | 0        |

  Scenario: a refusal read from the wire is of the type that was sent
    When the failure "replica-behind" is read from the wire
    Then it is the very class that decisions test for

Feature: Waiting for a member and refusal

  Scenario Outline: long statements without a queue do not lower the limit
    Load pattern: statements of 55 ms on the mean and up to 410 ms use 60 % of
    the slots. A fixed bound of the latency takes them for a queue, and the
    slots stay idle while statements wait at the host.

    Given statements of 55.0 ms at 0.6 of 6 slots for 30 s, seed <seed>
    When a host sends them under a limit by the member's own latency
    Then at least 0.99 of the statements end within 400 ms
    And the limit stays at 5 or more

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: the limit of short statements is that of a fixed bound
    Load pattern: deployments with statements of 4 to 22 ms, below and above
    what the slots carry.

    Given statements of <mean> ms at <load> of 6 slots for 30 s, seed <seed>
    When a host sends them under a limit by the member's own latency
    Then the part within 400 ms is within 0.03 of that with a fixed bound

    Examples:
      | mean | load | seed |
      | 4.0  | 0.9  | 1    |
      | 11.0 | 0.9  | 2    |
      | 22.0 | 0.6  | 1    |
      | 22.0 | 0.9  | 2    |
      | 22.0 | 1.15 | 3    |

  Scenario: a queue behind long statements still lowers the limit
    Given statements of 55.0 ms at 1.15 of 6 slots for 30 s, seed 1
    When a host sends them under a limit by the member's own latency
    Then the last limit is at most 12 of 41

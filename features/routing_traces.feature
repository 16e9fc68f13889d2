Feature: Routing and freshness in recorded traces

  Scenario Outline: every request of a trace is routed to the expected member
    When the routing trace "<trace>" is replayed
    Then each request is routed as the outcome of the trace states

    Examples:
      | trace         |
      | term-change   |
      | zone-cut      |
      | far-behind    |
      | diverged      |
      | without-token |
      | waiting       |

  Scenario Outline: every age of a trace is the expected age
    When the age trace "<trace>" is replayed
    Then each age is as the outcome of the trace states

    Examples:
      | trace         |
      | age-steady    |
      | age-partition |
      | age-rebuilt   |

  Scenario: the trace detects a tracker that ignores fenced terms
    When the age trace "age-partition" is replayed with a tracker that ignores fenced terms
    Then an age differs from the outcome of the trace

  Scenario Outline: the measured lag of a replica is accurate to the probe interval
    When a replica follows <lag> ms behind <rate> writes a second
    Then the measured lag differs from the true lag by at most <error> ms
    And no age is below the true age

    Examples:
      | lag | rate | error |
      | 5   | 200  | 100   |
      | 50  | 200  | 100   |
      | 500 | 200  | 100   |
      | 500 | 5    | 100   |

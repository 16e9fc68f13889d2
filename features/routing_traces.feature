Feature: Routing and freshness by recorded traces

  Scenario Outline: every request of a trace gets its stated member
    When the routing trace "<trace>" is replayed
    Then each request is routed as stated beside it

    Examples:
      | trace         |
      | term-change   |
      | zone-cut      |
      | far-behind    |
      | diverged      |
      | without-token |
      | waiting       |

  Scenario Outline: every age of a trace is as stated
    When the age trace "<trace>" is replayed
    Then each age is as stated beside it

    Examples:
      | trace         |
      | age-steady    |
      | age-partition |
      | age-rebuilt   |

  Scenario: a tracker that ignores fences states a false age
    When the age trace "age-partition" is replayed without fences
    Then an age differs from the stated one

  Scenario Outline: a replica's lag is known to within the probes
    When a replica follows <lag> ms behind <rate> writes a second
    Then its lag is known to within <error> ms
    And no age is below the true one

    Examples:
      | lag | rate | error |
      | 5   | 200  | 100   |
      | 50  | 200  | 100   |
      | 500 | 200  | 100   |
      | 500 | 5    | 100   |

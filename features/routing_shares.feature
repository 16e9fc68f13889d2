Feature: Share of the reads at replicas, and overload

  Scenario Outline: replicas serve the reads that they are allowed to serve
    When <deployment> is replayed at a lag of <lag> ms
    Then at least 0.95 of the aged reads are served by replicas
    And at least 0.85 of the reads just after a write are served by replicas
    And no read reported an age below the true age
    And every class meets its target

    Examples:
      | deployment  | lag |
      | karamanlis  | 5   |
      | karamanlis  | 50  |
      | karamanlis  | 500 |
      | sleevecraft | 5   |
      | sleevecraft | 50  |
      | sleevecraft | 500 |

  Scenario Outline: at twice the load, only the class with the loosest target is refused
    When <deployment> is replayed at twice the load of its slots
    Then the writes meet their target
    And the session reads meet their target
    And aged reads are refused early
    And no refused request was run

    Examples:
      | deployment  |
      | karamanlis  |
      | sleevecraft |

  Scenario: a tenant that floods a deployment does not affect another tenant
    When karamanlis is replayed with a tenant that floods
    Then the aged reads of the other tenant meet their target

  Scenario Outline: no replica below the floor of a read is chosen
    When generated requests are routed <way>
    Then <outcome>

    Examples:
      | way                       | outcome                           |
      | by the targets            | no route is below its floor       |
      | by the thin policy        | a route is below its floor        |
      | by a policy without terms | a route is below its floor        |

Feature: Share of the reads at replicas, and overload

  Scenario Outline: replicas serve the reads that they may serve
    When <deployment> is replayed at a lag of <lag> ms
    Then at least 0.95 of the aged reads are served by replicas
    And at least 0.85 of the reads just after a write are served by replicas
    And no read stated a false age
    And every class keeps its target

    Examples:
      | deployment  | lag |
      | karamanlis  | 5   |
      | karamanlis  | 50  |
      | karamanlis  | 500 |
      | sleevecraft | 5   |
      | sleevecraft | 50  |
      | sleevecraft | 500 |

  Scenario Outline: at twice the load only the loosest class is refused
    When <deployment> is replayed at twice the load of its slots
    Then the writes keep their target
    And the session reads keep their target
    And aged reads are refused early
    And no more work was run than answered

    Examples:
      | deployment  |
      | karamanlis  |
      | sleevecraft |

  Scenario: a tenant that floods takes nothing from another
    When karamanlis is replayed with a tenant that floods
    Then the aged reads of the other tenant keep their target

  Scenario Outline: no replica is chosen below the floor
    When generated requests are routed <way>
    Then <outcome>

    Examples:
      | way                       | outcome                           |
      | by the targets            | no route is below its floor       |
      | by the thin policy        | a route is below its floor        |
      | by a policy without terms | a route is below its floor        |

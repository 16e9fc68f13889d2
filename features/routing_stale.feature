Feature: Routing by digests that no answer has refreshed
  A host whose callers use hundreds of databases hears of each member
  seldom; the member's pooler dates its data, so the read goes there.

  Scenario Outline: the age in a digest counts while the digest is young
    Given a primary and a replica whose digest of <seen> s ago states an age of <age>
    When a read of at most 2000 ms is routed by old digests
    Then the read goes to the <role>

    Examples:
      | seen | age     | role    |
      | 0.1  | 500 ms  | replica |
      | 0.1  | 2500 ms | primary |
      | 0.1  | unknown | primary |
      | 30   | 500 ms  | replica |
      | 30   | 2500 ms | replica |
      | 30   | unknown | replica |

Feature: Routing by stale digests
  A host whose callers use hundreds of databases rarely gets a new digest of
  each member. The member's pooler knows the current age of the member's data,
  so that a read is routed to the member if the digest is old.

  Scenario Outline: the age in a digest is used only while the digest is recent
    Given a primary and a replica whose digest of <seen> s ago states an age of <age>
    When a read of at most 2000 ms is routed by these digests
    Then the read goes to the <role>

    Examples:
      | seen | age     | role    |
      | 0.1  | 500 ms  | replica |
      | 0.1  | 2500 ms | primary |
      | 0.1  | unknown | primary |
      | 30   | 500 ms  | replica |
      | 30   | 2500 ms | replica |
      | 30   | unknown | replica |

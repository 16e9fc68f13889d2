Feature: Reads of a group with a member that fails its statements

  Load pattern: a replica passes its health checks and fails its statements at
  once, so that it has the shortest latency of its group.

  Scenario: a replica that fails every read at once gets few reads
    Given a group in which "r" answers in 1 ms and "s" in 20 ms
    When "r" fails 100 % of 200 reads, 25 ms apart
    Then "r" got at most 5 % of the reads

  Scenario: a replica that fails part of its reads gets fewer reads
    Given a group in which "r" answers in 15 ms and "s" in 20 ms
    When "r" fails 40 % of 200 reads, 25 ms apart
    Then "r" got at most 20 % of the reads

  Scenario: a replica that has recovered gets its share of the reads again
    Given a group in which "r" answers in 15 ms and "s" in 40 ms
    When "r" fails 100 % of 80 reads, 25 ms apart
    And "r" fails 0 % of 200 reads, 25 ms apart
    Then "r" got at least 30 % of the reads

  Scenario: a failing replica is used where no other member may serve a read
    Given a group in which "r" answers in 1 ms and "s" in 20 ms
    When "r" fails 100 % of 20 reads, 25 ms apart
    And "s" and the primary are unreachable
    Then a read goes to "r"

  Scenario Outline: a read that fails at one member is sent to another one
    Given a group whose members fail <failures> reads
    When a caller reads from the group
    Then the caller gets <result>

    Examples:
      | failures | result    |
      | 1        | an answer |
      | 2        | a failure |

Feature: Read floors, placement, queues and connection shares

  Scenario: a read of the present has no floor for replicas
    Given evidence at 1.0 s of 1.10
    Then a "primary" read at 1.2 s has no floor

  Scenario: the floor of a bounded read is the oldest evidence within its age
    Given evidence at 1.0 s of 1.10, at 1.5 s of 1.20, at 2.0 s of 1.30
    Then a "bounded" read of at most 1.5 s at 2.8 s has the floor 1.20
    And a "bounded" read of at most 1.5 s at 5.0 s has no floor

  Scenario: the floor of a session read also covers the session's commits
    Given evidence at 1.0 s of 1.10, at 2.0 s of 1.30
    And the session committed 1.25 at 1.8 s
    Then a "session" read of at most 2.5 s at 2.1 s has the floor 1.25
    And a "bounded" read of at most 2.5 s at 2.1 s has the floor 1.10

  Scenario: a commit that a promotion rolled back does not stay a floor
    Given evidence at 1.0 s of 1.10, at 3.0 s of 2.11
    And the session committed 1.25 at 1.8 s
    Then a "session" read of at most 2.5 s at 3.1 s has the floor 2.11

  Scenario: evidence of an older term does not replace evidence of a newer term
    Given evidence at 2.0 s of 2.11, at 3.0 s of 1.40
    Then a "bounded" read of at most 1.5 s at 3.1 s has the floor 2.11

  Scenario: a read goes to the replica with the lowest expected latency
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" has a latency of 40 ms and "s" of 15 ms
    Then a bounded read goes to "s"
    When 4 statements are in flight at "s"
    Then a bounded read goes to "r"

  Scenario: the primary of the zone serves its reads while it has no queue
    Load pattern: one member a zone, few hosts that hold the connections, and
    narrow links between the zones.

    Given a group with holders, the primary "p" in zone "a", "r" in "b" and "s" in "c"
    Then a bounded read in zone "a" goes to "p"
    And a bounded read in zone "b" goes to "r"
    When work waits for "p"
    Then a bounded read in zone "a" goes to a replica

  Scenario: the primary of the zone is left to the writes after a refusal
    Given a group with holders, the primary "p" in zone "a", "r" in "b" and "s" in "c"
    When "p" refuses a statement for load
    Then a bounded read in zone "a" goes to a replica

  Scenario: connections to the primary are not used for reads where each host has its own
    Given a group without holders, the primary "p" in zone "a", "r" in "b" and "s" in "c"
    Then a bounded read in zone "a" goes to a replica

  Scenario: a member that does not answer gets no reads
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" and "s" become unreachable
    Then a bounded read goes to "p"
    When "p" becomes unreachable too
    Then a bounded read goes to no member

  Scenario: a leaving replica gets no new reads
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" is leaving
    Then a bounded read goes to "s"

  Scenario: a replica that was behind gets no reads until it may hold the floor
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" has a latency of 10 ms and "s" of 30 ms
    When "r" was behind a floor of 900 ms
    Then a bounded read goes to "s"

  Scenario: the position in a reply shows the lag of a replica
    Load pattern: replicas apply the log about 1 s late. Reads of data up to
    1.35 s old miss now and then, and must not keep out reads of older data.

    Given a group with the primary "p" and replicas "r s" in zone "a"
    And a commit proved each 100 ms, up to 10.0 s
    When "r" refuses a floor of 1000 ms at the position of 8.5 s
    And "s" refuses a floor of 1000 ms at the position of 8.5 s
    Then a read of data 2.3 s old goes to a replica
    But a read of data 1.0 s old goes to "p"

  Scenario: a replica that has caught up is used at once
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And a commit proved each 100 ms, up to 10.0 s
    When "r" refuses a floor of 1000 ms at the position of 8.5 s
    And "r" reports the position of 10.0 s
    And "s" becomes unreachable alone
    Then a read of data 1.0 s old goes to a replica

  Scenario: a read that the primary refused is not sent to replicas far behind
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" was behind a floor of 2000 ms
    And "s" was behind a floor of 2000 ms
    And "p" refuses a read
    Then a bounded read goes to no member

  Scenario: a replica that was behind gets reads again after some time
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" has a latency of 10 ms and "s" of 30 ms
    When "r" was behind a floor of 2000 ms
    And 4 s have passed
    Then a bounded read goes to "r"

  Scenario: a queue serves by priority and refuses work that would be late
    Given a queue for 2 connections with a hold time of 30 ms
    When work "a" of priority 2, "b" of priority 1 and "c" of priority 2 is queued
    Then the queue serves "b a c"
    And work of priority 2 with 30 ms left is refused behind 4 others
    But work of priority 1 with 30 ms left is queued

  Scenario: a host exceeds its connection share only while the member has room
    Given a share of 16 connections among 8 hosts
    Then 4 connections may be open and 1 stays open when idle
    When the member refuses a connection
    Then 2 connections may be open and 1 stays open when idle

  Scenario Outline: only an isolated host is removed from the balancer
    Given a host that reaches <hosts> of 8 hosts and has lost <lost> of <groups> primaries
    Then the host <verdict> as isolated

    Examples:
      | hosts | lost | groups | verdict        |
      | 3     | 2    | 3      | counts         |
      | 3     | 2    | 4      | counts         |
      | 3     | 1    | 1      | counts         |
      | 3     | 1    | 3      | does not count |
      | 3     | 0    | 1      | does not count |
      | 3     | 0    | 0      | does not count |
      | 4     | 3    | 3      | does not count |
      | 8     | 3    | 3      | does not count |
      | 5     | 3    | 3      | does not count |

Feature: Where a read may run and what it must hold

  Scenario: a read of the present has no floor for replicas
    Given proofs at 1.0 s of 1.10
    Then a "primary" read at 1.2 s has no floor

  Scenario: a bounded read takes the oldest proof within its age
    Given proofs at 1.0 s of 1.10, at 1.5 s of 1.20, at 2.0 s of 1.30
    Then a "bounded" read of at most 1.5 s at 2.8 s has the floor 1.20
    And a "bounded" read of at most 1.5 s at 5.0 s has no floor

  Scenario: a session's read also holds its own commits
    Given proofs at 1.0 s of 1.10, at 2.0 s of 1.30
    And the session committed 1.25 at 1.8 s
    Then a "session" read of at most 2.5 s at 2.1 s has the floor 1.25
    And a "bounded" read of at most 2.5 s at 2.1 s has the floor 1.10

  Scenario: a commit that a promotion rolled back is no floor for ever
    Given proofs at 1.0 s of 1.10, at 3.0 s of 2.11
    And the session committed 1.25 at 1.8 s
    Then a "session" read of at most 2.5 s at 3.1 s has the floor 2.11

  Scenario: a proof never takes back a newer one
    Given proofs at 2.0 s of 2.11, at 3.0 s of 1.40
    Then a "bounded" read of at most 1.5 s at 3.1 s has the floor 2.11

  Scenario: work goes to the replica that answers soonest
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" takes 40 ms and "s" takes 15 ms
    Then a bounded read goes to "s"
    When 4 statements are in flight at "s"
    Then a bounded read goes to "r"

  Scenario: a member that does not answer gets no read at all
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" and "s" stop to answer
    Then a bounded read goes to "p"
    When "p" stops to answer too
    Then a bounded read goes nowhere

  Scenario: a replica that leaves gets no new read
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" is leaving
    Then a bounded read goes to "s"

  Scenario: a replica that lagged is passed over until it holds the floor
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" takes 10 ms and "s" takes 30 ms
    When "r" was behind a floor of 900 ms
    Then a bounded read goes to "s"

  Scenario: replicas that are far behind are not pressed by every read
    Given a group with the primary "p" and replicas "r s" in zone "a"
    When "r" was behind a floor of 2000 ms
    And "s" was behind a floor of 2000 ms
    And "p" refuses a read
    Then a bounded read goes nowhere

  Scenario: a replica that lagged is asked again after a while
    Given a group with the primary "p" and replicas "r s" in zone "a"
    And "r" takes 10 ms and "s" takes 30 ms
    When "r" was behind a floor of 2000 ms
    And 4 s have passed
    Then a bounded read goes to "r"

  Scenario: a burst waits by importance, and what comes too late is refused
    Given a line for 2 connections held 30 ms each
    When work "a" of priority 2, "b" of priority 1 and "c" of priority 2 waits
    Then the line serves "b a c"
    And work of priority 2 with 30 ms left is refused behind 4 others
    But work of priority 1 with 30 ms left is taken

  Scenario: connections above the share are taken only while there is room
    Given a share of 16 connections among 8 hosts
    Then 4 connections may be open and 1 is kept
    When the member refuses a connection
    Then 2 connections may be open and 1 is kept

  Scenario Outline: only a host that is cut off leaves the balancer
    Given a host that reaches <hosts> of 8 hosts and misses <lost> of 3 primaries
    Then after 1 s it <verdict> as cut off

    Examples:
      | hosts | lost | verdict        |
      | 3     | 2    | counts         |
      | 3     | 1    | does not count |
      | 8     | 3    | does not count |
      | 5     | 3    | does not count |

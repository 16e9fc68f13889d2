Feature: Reads that are sent to a second member

  Load pattern: a member stays silent, or its connections are all taken, and
  a read goes to another member meanwhile.

  Scenario: a read that still waits when another answers is never sent
    Given a read whose first member has no connection free
    When its second member answers
    And the session changes its value before the first has a connection
    Then the first member was sent nothing

  Scenario: a read that was sent counts if it answers first
    Given a read whose first member has no connection free
    When the first member has a connection before the second is asked
    Then the first member was sent the read once

  Scenario: work does not wait for a change of primary that is not coming
    Given a write while no primary is known
    When this host has learned that no change is coming
    Then the write is refused without a wait
    When another host claims the change
    And the new primary proves itself
    Then the next write waits for it

  Scenario: a write for which no connection could be opened has not run
    Given a group whose primary takes no connection
    Then a write is refused as not run

  Scenario: a primary that leaves gets no new work after some seconds
    Given a group whose primary has been leaving for 1 s
    Then its primary still takes work
    Given a group whose primary has been leaving for 6 s
    Then its primary takes no work

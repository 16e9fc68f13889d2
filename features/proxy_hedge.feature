Feature: Hedged reads and requests that wait for a primary

  Load pattern: a member does not answer, or all its connections are in use,
  and a read is sent to a second member as well.

  Scenario: a queued read is not sent once another member has answered
    Given a read whose first member has no free connection
    When the second member answers the read
    And the session changes a variable before the first member has a free connection
    Then the first member was sent no request

  Scenario: the reply of the first member is used if it arrives first
    Given a read whose first member has no free connection
    When the first member has a free connection before the read is hedged
    Then the read was sent once, to the first member

  Scenario: a write does not wait while no failover is expected
    Given a write to a group without a known primary
    When this host has learned that no failover will start
    Then the write is refused without a wait
    When another host claims the failover
    And the new primary proves its leadership
    Then the next write waits for the new primary

  Scenario: a write is reported as not run if no connection could be opened
    Given a group whose primary accepts no connection
    Then a write is refused as not run

  Scenario: a leaving primary gets no new requests after a few seconds
    Given a group whose primary has been leaving for 1 s
    Then the primary still gets requests
    Given a group whose primary has been leaving for 6 s
    Then the primary gets no requests

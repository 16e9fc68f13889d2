Feature: Failure detection of a primary
  A coordinator that reaches no majority of the members promotes no replica.

  Scenario: an answer from before the first lost probe does not count for a majority
    Given a failure detector with answers of members a, b and c at 0.0 and primary b
    When the probe sent to "b" at 0.5 is lost
    And "a" answers the probe sent at 0.5 with its last contact to the primary 600 ms ago
    Then the verdict at 1.2 is "suspect"

  Scenario: a majority that answers after the lost probe confirms the silence
    Given a failure detector with answers of members a, b and c at 0.0 and primary b
    When the probe sent to "b" at 0.5 is lost
    And "a" answers the probe sent at 0.5 with its last contact to the primary 600 ms ago
    And "c" answers the probe sent at 0.6 with its last contact to the primary 700 ms ago
    Then the verdict at 1.2 is "silent"

  Scenario: an urgent probe schedule takes effect at once
    Given a schedule that probes three members every 2.0 seconds from 0.0
    When the probe schedule becomes urgent at 0.5
    Then each member is probed again by 0.7

  Scenario: the time since the last answer is no evidence against the primary
    Given a failure detector with answers of members a, b and c at 0.0 and primary b
    When "a" answers the probe sent at 0.1 with its last contact to the primary 10 ms ago
    And "c" answers the probe sent at 0.1 with its last contact to the primary 10 ms ago
    Then the verdict at 5.0 is "healthy"

  Scenario: a replica that has lost contact to the primary is reported
    Given a failure detector with answers of members a, b and c at 0.0 and primary b
    When "a" answers the probe sent at 0.1 with its last contact to the primary 500 ms ago
    Then the detector reports a loss of primary contact
    When "b" answers the probe sent at 0.2 with its last contact to the primary 0 ms ago
    Then the detector reports no loss of primary contact

  Scenario: probes without urgency are spread over the interval
    Given a schedule that probes three members every 3.0 seconds from 0.0
    When 30 seconds pass
    Then at most one member is probed in any half second

  Scenario: the unreachable timeout restarts after the coordinator was cut off
    Given a failure detector with answers of members a, b and c at 0.0 and primary b
    When the probe sent to "b" at 0.5 is lost
    And the probe sent to "c" at 0.5 is lost
    And "a" answers the probe sent at 6.0 with its last contact to the primary 6000 ms ago
    Then the verdict at 6.0 is "cut-off"
    When "c" answers the probe sent at 6.1 with its last contact to the primary 10 ms ago
    Then the verdict at 6.1 is "suspect"
    And the verdict at 9.0 is "suspect"
    And the verdict at 9.1 is "unreachable"

Feature: Evidence about a primary
  A coordinator that is cut off itself promotes nobody.

  Scenario: answers from before the first loss prove no majority
    Given a detector that heard members a, b and c at 0.0, b leading
    When the probe of "b" that left at 0.5 is lost
    And "a" answers the probe of 0.5 without contact for 600 ms
    Then the verdict at 1.2 is "suspect"

  Scenario: a majority that answers after the loss proves the silence
    Given a detector that heard members a, b and c at 0.0, b leading
    When the probe of "b" that left at 0.5 is lost
    And "a" answers the probe of 0.5 without contact for 600 ms
    And "c" answers the probe of 0.6 without contact for 700 ms
    Then the verdict at 1.2 is "silent"

  Scenario: a shorter interval of the probes applies at once
    Given probes of three members every 2.0 seconds from 0.0
    When evidence is needed urgently at 0.5
    Then each member is probed again by 0.7

  Scenario: time since an answer says nothing of the primary
    Given a detector that heard members a, b and c at 0.0, b leading
    When "a" answers the probe of 0.1 without contact for 10 ms
    And "c" answers the probe of 0.1 without contact for 10 ms
    Then the verdict at 5.0 is "healthy"

  Scenario: a replica that has lost the primary asks for evidence
    Given a detector that heard members a, b and c at 0.0, b leading
    When "a" answers the probe of 0.1 without contact for 500 ms
    Then more evidence is needed
    When "b" answers the probe of 0.2 without contact for 0 ms
    Then no more evidence is needed

  Scenario: the probes of calm members spread over the interval
    Given probes of three members every 3.0 seconds from 0.0
    When 30 seconds pass
    Then at most one member is probed in any half second

  Scenario: a coordinator that was cut off begins its patience anew
    Given a detector that heard members a, b and c at 0.0, b leading
    When the probe of "b" that left at 0.5 is lost
    And the probe of "c" that left at 0.5 is lost
    And "a" answers the probe of 6.0 without contact for 6000 ms
    Then the verdict at 6.0 is "cut-off"
    When "c" answers the probe of 6.1 without contact for 10 ms
    Then the verdict at 6.1 is "suspect"
    And the verdict at 9.0 is "suspect"
    And the verdict at 9.1 is "unreachable"

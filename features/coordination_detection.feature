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

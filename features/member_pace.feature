Feature: Pace of a member that starts or recovers

  Load pattern: a member that has started has no measured latency, so that
  every host takes it for the fastest and sends it all reads at once, while it
  works up to 1.6 times slower for some seconds.

  Scenario: a host that has just started does not pace
    Given a host that has seen 0 answers of the members
    When the member "m2" restarts
    Then "m2" gets the part 1.0 of its share
    And a limit of 8 stays 8 at "m2"

  Scenario Outline: a member that starts or recovers is paced for its reason
    Given a host that has seen 20 answers of the members
    When the member "m2" <change>
    Then "m2" gets the part <part> of its share for the reason "<reason>"
    And the other members are not paced

    Examples:
      | change       | part | reason    |
      | restarts     | 0.5  | restarted |
      | joins anew   | 0.5  | new       |
      | recovers     | 0.5  | recovered |
      | is promoted  | 0.5  | promoted  |

  Scenario: answers in time end the pace
    Given a host that has seen 20 answers of the members
    When the member "m2" restarts
    And "m2" answers 40 times in 20 ms
    Then "m2" gets the part 1.0 of its share
    And the steps were "begun ended"

  Scenario: slow answers and refusals step back, but never to nothing
    Given a host that has seen 20 answers of the members
    When the member "m2" restarts
    And "m2" answers 4 times in 200 ms
    And "m2" refuses 20 statements
    Then "m2" gets the part 0.1 of its share
    And a limit of 4 becomes 1 at "m2"
    And the first steps were "begun slowed"

  Scenario: a member that stays slow gets its share in the end
    Given a host that has seen 20 answers of the members
    When the member "m2" restarts
    And "m2" answers 200 times in 50 ms
    Then "m2" gets the part 1.0 of its share

  Scenario: the group gets what it needs where other members are missing
    Given a host that has seen 20 answers of the members
    When the member "m2" restarts
    And "m2" refuses 20 statements
    And the members "m0 m1" do not answer
    Then "m2" gets the part 1.0 of its share
    And reads go to "m2"

  Scenario: the new primary keeps half of its share, whatever it answers
    Given a host that has seen 20 answers of the members
    When the member "m2" is promoted
    And "m2" refuses 20 statements
    Then "m2" gets the part 0.5 of its share

  Scenario: the part bounds the reads that the member would get
    Given a host that has seen 20 answers of the members
    When the member "m2" restarts
    Then 10 of 20 reads go to "m2"

  Scenario Outline: replays at 86 hosts that do not see each other's work
    When "<replay>" is replayed at 86 hosts
    Then the pace has at most <part> of the refusals without one
    And no more late requests than without a pace and <late>
    And the member has its fair share within <fair> s

    Examples:
      | replay               | part | late | fair |
      | crash and return     | 0.25 | 3    | 6    |
      | rolling release      | 0.75 | 3    | 6    |
      | flapping member      | 0.25 | 3    | 18   |
      | cold member          | 1.0  | 3    | 8    |
      | change of holders    | 1.0  | 3    | 8    |
      | new primary          | 1.0  | 3    | 2    |
      | power restored       | 1.0  | 0    | 2    |

  Scenario: a member that is well does not wait for the end of a ramp
    When "well after a restart" is replayed at 86 hosts
    Then the pace reaches the fair share sooner than the ramp

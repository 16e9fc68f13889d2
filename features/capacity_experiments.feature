Feature: Capacity experiments on the stand-ins

  Scenario: The experiments of the examples are valid
    Then each capacity example is accepted and has at least 4 points

  Scenario Outline: An experiment with an invalid sweep is refused
    Given a capacity experiment that sweeps "<path>" to <value>
    Then the capacity experiment is refused for "<fault>"

    Examples:
      | path                      | value | fault               |
      | deployment.hosts_per_zone | 25    | hosts is over       |
      | deployment.databases      | 33    | members is over     |
      | load.idle_callers         | 5000  | callers is over     |
      | load.nothing              | 1     | no such field       |

  Scenario: An experiment with an unknown key is refused
    Given a capacity experiment with the key "speed"
    Then the capacity experiment is refused for "speed"

  Scenario: Control and work traffic are counted separately, with headers
    Given a capacity window of 10 s with 50 probes and 20 reads of 100 bytes
    Then the capacity figure "membership messages/s mean" is 5
    And the capacity figure "membership bytes/s mean" is 800
    And the capacity figure "control bytes/s mean" is 800
    And the capacity figure "work bytes/s mean" is 320

  Scenario: A member counts as moved when another host pools it
    Given a capacity window in which "m1" moves and "m2" stays
    Then the capacity figure "members moved" is 1
    And the capacity figure "members a host before" is 1

  Scenario: Two results are compared point by point
    Given capacity results at 1 and 2, and others that are half as large
    Then each capacity difference has the ratio 0.5

  Scenario: Every message belongs to control or to work traffic
    Then each message without a kind of control traffic is work

Feature: Isolation detected within about a second by the whole zone
  A zone is partitioned from the others while callers still reach its hosts.
  The balancer moves the callers once no host of the zone is ready. All times
  are virtual, and each scenario runs with 5 seeds.

  Scenario Outline: all hosts of a partitioned zone leave within 1.2 s and stay away
    Given zones of <sizes> hosts with primaries in zones <primaries>
    When zone 0 is cut off "<direction>" for 6 s
    Then all hosts of zone 0 leave within 1.2 s, and no others
    And they return within 1.5 s of the end, and not before

    Examples:
      | sizes    | primaries | direction |
      | 10 10 10 | 0012      | both      |
      | 10 10 10 | 1122      | both      |
      | 10 10 10 | 1122      | in        |
      | 10 10 10 | 1122      | out       |
      | 3 3 2    | 012       | both      |
      | 2 3 3    | 1         | both      |
      | 1 4 3    | 012       | both      |

  Scenario: the membership and the rule of more than half of the primaries take longer
    Given 3 zones of 10 hosts whose membership has settled
    When zone 0 loses the other zones and all 4 primaries for 6 s
    Then by the membership its hosts would leave after 1.2 s

  Scenario: a zone that keeps most primaries serves on
    Given zones of 10 10 10 hosts with primaries in zones 0001
    When zone 0 is cut off "both" for 6 s
    Then no host leaves

  Scenario: the zone of the only primary serves on while the others leave
    Given zones of 10 10 10 hosts with primaries in zones 0
    When zone 0 is cut off "both" for 6 s
    Then no host leaves

  Scenario: a partition of 0.3 s goes unnoticed
    Given zones of 10 10 10 hosts with primaries in zones 1122
    When zone 0 is cut off "both" for 0.3 s
    Then no host leaves

  Scenario: two partitions in a row are left twice
    Given zones of 10 10 10 hosts with primaries in zones 1122
    When zone 0 is cut off "both" for 4 s
    And the zones run for 4 s
    And zone 0 is cut off "both" for 4 s
    Then all hosts of zone 0 leave within 1.2 s of each cut, and no others

  Scenario: a zone with little traffic is told by the host that has some
    Given zones of 10 10 10 hosts with primaries in zones 1122
    And only one host of zone 0 makes calls
    When zone 0 is cut off "both" for 6 s
    Then all hosts of zone 0 leave within 1.2 s, and no others

  Scenario: a zone without any traffic sends nothing
    Given zones of 10 10 10 hosts with primaries in zones 1122
    And no host makes calls
    When zone 0 is cut off "both" for 6 s
    Then no host leaves
    And nothing was sent

  Scenario Outline: notices that are lost or late do not matter while there is traffic
    Given zones of 10 10 10 hosts with primaries in zones 1122
    And each host makes 30 calls per second
    And notices are lost with probability <lost> and <late> s late
    When zone 0 is cut off "both" for 6 s
    Then all hosts of zone 0 leave within 1.2 s, and no others
    And they return within 1.5 s of the end, and not before

    Examples:
      | lost | late |
      | 1.0  | 0.0  |
      | 0.5  | 0.3  |
      | 0.0  | 6.5  |

  Scenario: a single host that is cut off leaves alone
    Given zones of 10 10 10 hosts with primaries in zones 0012
    When one host of zone 0 is cut off "both" for 6 s
    Then just this host leaves within 1.5 s
    And they return within 1.5 s of the end, and not before

  Scenario Outline: hosts that reach a third zone stay
    Given zones of <sizes> hosts with primaries in zones 1112
    When <trouble>
    Then no host leaves

    Examples:
      | sizes    | trouble                                     |
      | 10 10 10 | zone 1 stops for 6 s                        |
      | 2 8 1    | zone 1 stops for 6 s                        |
      | 10 10 10 | zone 1 answers after 0.8 s for 6 s          |
      | 10 10 10 | a host of zone 0 is suspended for 3 s       |
      | 10 10 10 | a host of zone 0 is suspended for 0.35 s    |

  Scenario Outline: lossy links between the zones do not make hosts leave
    Given zones of <sizes> hosts with primaries in zones 1122
    And each host makes <calls> calls per second
    When 3 in 10 packets between zones are lost for 20 s
    Then no host leaves

    Examples:
      | sizes    | calls |
      | 10 10 10 | 10    |
      | 10 10 10 | 1     |
      | 3 3 2    | 10    |

  Scenario: a host that starts in an isolated zone leaves as well
    Guards against a single host of the zone that reports itself as ready: the
    load balancer then uses all hosts of the zone again.

    Given zones of 10 10 10 hosts with primaries in zones 1122
    When zone 0 is cut off for 6 s and a host of it restarts after 2 s
    Then the restarted host leaves within 1.2 s of its start

  Scenario: a host that is not told of the isolation stays
    Given zones of 10 10 10 hosts with primaries in zones 1122
    And answers do not tell that a host is isolated
    When zone 0 is cut off for 6 s and a host of it restarts after 2 s
    Then the restarted host does not leave

  Scenario: all hosts that start over some seconds stay
    Given zones of 10 10 10 hosts with primaries in zones 0012
    When all hosts stop and start again over 4 s, zone after zone
    Then no host leaves

  Scenario: a host that is notified tells why it leaves, and returns
    Given a host of 12 in 3 zones, with 4 primaries in other zones
    When its zone is cut off and another host of the zone notifies it
    Then the log, the dump and the metrics tell that it is cut off
    When the other zones are reached again
    Then it is ready
    And the log tells that it is back, and no connection is an old one

  Scenario: a host whose calls are not answered notifies its zone
    Given a host of 12 in 3 zones, with 4 primaries in other zones
    When its zone is cut off and a call of it is not answered
    Then it has notified the 3 other hosts of its zone

  Scenario: a notice has no effect on a host that is connected
    Given a host of 12 in 3 zones, with 4 primaries in other zones
    When another host of the zone notifies it for no reason
    Then it is ready
    And the check is counted as connected, and nothing is logged

  Scenario: hosts with traffic and no trouble send few probes
    Given zones of 10 10 10 hosts with primaries in zones 0012
    When the zones run for 20 s
    Then no host leaves
    And nothing was sent

  Scenario: calls and dials to another host are observed
    Given a host that calls another one, with an observer of its calls
    When it sends a probe
    Then the probe is answered, and 2 calls are observed as answered
    When it tries a new connection
    Then the other host is reached, and its connection is kept
    When the other host stops
    Then neither a probe nor a new connection succeeds

  Scenario: a replaced connection stays open for the leases on it
    Given a host that calls another one, with an observer of its calls
    When it sends a probe
    And it replaces its connection and sends a probe
    Then the probe is answered, and 4 calls are observed as answered
    And the former connection is still open beside the new one

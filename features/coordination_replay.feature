Feature: Replay of recorded faults against the coordination
  The coordination's decisions run on a virtual clock, against models of
  the members, the platform's service, the links and the callers' writes.
  The tables list the expected results of each trace: the primary at the
  end, the promotions and handovers that began, and the longest time
  without an acknowledged write.

  Scenario Outline: coordination: trace <trace> in <deployment>
    Given coordination hosts and members of the deployment "<deployment>"
    When the coordination trace "<trace>" is replayed for 40 seconds
    Then the coordination broke no rule
    And member "<leader>" is the primary at the end
    And <promotions> promotions and <handovers> handovers have begun
    And writes were acknowledged at least every <gap> seconds

    Examples: failover while the platform's service is available
      | trace                               | deployment | leader | promotions | handovers | gap |
      | primary-dies                        | karamanlis | b      | 1          | 0         | 1.5 |
      | primary-dies                        | sleevecraft | b     | 1          | 0         | 1.5 |
      | primary-isolated                    | karamanlis | b      | 1          | 0         | 1.5 |
      | primary-isolated                    | sleevecraft | b     | 1          | 0         | 1.5 |
      | primary-cut-from-its-zone           | karamanlis | b      | 1          | 0         | 6   |
      | primary-cut-from-its-zone           | sleevecraft | b     | 1          | 0         | 6   |
      | zone-of-primary-cut-off             | karamanlis | b      | 1          | 0         | 6   |
      | zone-of-primary-cut-off             | sleevecraft | b     | 1          | 0         | 6   |
      | primary-reaches-no-replica          | karamanlis | b      | 1          | 0         | 6   |
      | primary-reaches-no-replica          | sleevecraft | b     | 1          | 0         | 6   |
      | coordinator-dies-in-promotion       | karamanlis | b      | 1          | 0         | 6   |
      | coordinator-dies-in-promotion       | sleevecraft | b     | 1          | 0         | 6   |
      | coordinator-paused-beyond-its-lease | karamanlis | b      | 1          | 0         | 6   |
      | coordinator-paused-in-promotion     | karamanlis | b      | 2          | 0         | 6   |
      | primary-and-coordinator-die         | karamanlis | b      | 1          | 0         | 6   |
      | primary-and-coordinator-die         | sleevecraft | b     | 1          | 0         | 6   |

    Examples: failover while the platform's service fails, is slow or loses answers
      | trace                        | deployment  | leader | promotions | handovers | gap |
      | service-out                  | karamanlis  | b      | 1          | 0         | 6   |
      | service-out                  | sleevecraft | b      | 1          | 0         | 6   |
      | service-out-coordinator-dies | karamanlis  | b      | 1          | 0         | 6   |
      | service-out-coordinator-dies | sleevecraft | b      | 1          | 0         | 6   |
      | service-slow                 | karamanlis  | b      | 1          | 0         | 6   |
      | service-answers-lost         | karamanlis  | b      | 1          | 0         | 6   |

    Examples: no replica is promoted
      | trace                   | deployment  | leader | promotions | handovers | gap  |
      | zone-of-replica-cut-off | karamanlis  | a      | 0          | 0         | 0.25 |
      | coordinator-cut-off     | karamanlis  | a      | 0          | 0         | 0.25 |
      | coordinator-cut-off     | sleevecraft | a      | 0          | 0         | 0.25 |
      | link-flaps              | karamanlis  | a      | 0          | 0         | 0.25 |

    Examples: return of the home primary and planned stop
      | trace                          | deployment  | leader | promotions | handovers | gap  |
      | stop-planned                   | karamanlis  | b      | 0          | 1         | 0.25 |
      | stop-planned                   | sleevecraft | b      | 0          | 1         | 0.25 |
      | primary-leaves                 | karamanlis  | b      | 0          | 1         | 0.25 |
      | stop-cancelled                 | karamanlis  | a      | 0          | 1         | 0.25 |
      | stops-conflict                 | sleevecraft | c      | 0          | 2         | 0.25 |
      | coordinator-dies-in-handover   | karamanlis  | b      | 0          | 2         | 0.25 |
      | coordinator-paused-in-handover | karamanlis  | b      | 0          | 2         | 0.25 |
      | target-dies-in-handover        | sleevecraft | c      | 0          | 3         | 0.25 |
      | service-out-in-handover        | karamanlis  | b      | 0          | 2         | 0.25 |
      | home-returns                   | karamanlis  | a      | 1          | 1         | 1.5  |
      | home-fails-again               | sleevecraft | a      | 2          | 2         | 1.5  |

  Scenario: coordination: a return to the home primary interrupts writes for 250 ms at most
    Given coordination hosts and members of the deployment "karamanlis"
    When the coordination trace "home-returns" is replayed for 40 seconds
    Then writes after 11 seconds were acknowledged at least every 0.25 seconds

  Scenario: coordination: another primary is in place 2 s after the notice to leave
    Given coordination hosts and members of the deployment "karamanlis"
    When the coordination trace "primary-leaves" is replayed for 10 seconds
    Then member "b" is the primary at the end

  Scenario: coordination: the hold-down grows after the home primary fails again
    Given coordination hosts and members of the deployment "karamanlis"
    When the coordination trace "home-fails-again" is replayed for 40 seconds
    Then the first return was delayed by at least 5 seconds and the second by 10

  Scenario: coordination: a member without a majority acknowledges no write
    Given coordination hosts and members of the deployment "karamanlis"
    When the coordination trace "two-members-down" is replayed for 40 seconds
    Then the coordination broke no rule
    And no write was acknowledged between 8.3 and 16 seconds
    And member "b" is the primary at the end

  Scenario: coordination: no term is used by two processes
    Given coordination hosts and members of the deployment "sleevecraft"
    When the coordination trace "service-out-coordinator-dies" is replayed for 40 seconds
    Then no term was used by two processes

  Scenario Outline: coordination: a planned stop with replicas that lag by <lag> ms
    Given coordination hosts with replicas that lag by <lag> ms
    When the coordination trace "stop-planned" is replayed for 40 seconds
    Then the coordination broke no rule
    And member "b" is the primary at the end
    And writes were acknowledged at least every <gap> seconds

    Examples:
      | lag | gap  |
      | 5   | 0.25 |
      | 50  | 0.25 |
      | 250 | 6    |
      | 500 | 6    |

  Scenario: coordination: sets of two or three faults around promotion and handover
    When the coordination runs with 8 sets of two or three faults
    Then no set of faults breaks a rule and each run settles

  Scenario Outline: coordination: <count> concurrent faults, seed <seed>
    When the coordination runs with <count> generated faults of seed <seed>
    Then the coordination broke no rule
    And the home layout is restored

    Examples:
      | count | seed |
      | 1     | 1    |
      | 1     | 2    |
      | 2     | 3    |
      | 2     | 4    |
      | 3     | 5    |
      | 3     | 6    |

Feature: Replay of recorded faults against the coordination
  The product's decisions run on a virtual clock; members, service,
  links and callers' writes are models. Outcomes stand beside each trace:
  the member that leads at the end, promotions and handovers that began,
  and the longest time without an acknowledged write.

  Scenario Outline: coordination: trace <trace> in <deployment>
    Given coordination hosts and members of "<deployment>"
    When the coordination trace "<trace>" is replayed for 40 seconds
    Then the coordination broke no rule
    And member "<leader>" leads in the end
    And <promotions> promotions and <handovers> handovers have begun
    And writes were acknowledged at least every <gap> seconds

    Examples: failover with the service up
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

    Examples: failover with the service out, slow or losing answers
      | trace                        | deployment  | leader | promotions | handovers | gap |
      | service-out                  | karamanlis  | b      | 1          | 0         | 6   |
      | service-out                  | sleevecraft | b      | 1          | 0         | 6   |
      | service-out-coordinator-dies | karamanlis  | b      | 1          | 0         | 6   |
      | service-out-coordinator-dies | sleevecraft | b      | 1          | 0         | 6   |
      | service-slow                 | karamanlis  | b      | 1          | 0         | 6   |
      | service-answers-lost         | karamanlis  | b      | 1          | 0         | 6   |

    Examples: nobody is promoted
      | trace                   | deployment  | leader | promotions | handovers | gap  |
      | zone-of-replica-cut-off | karamanlis  | a      | 0          | 0         | 0.25 |
      | coordinator-cut-off     | karamanlis  | a      | 0          | 0         | 0.25 |
      | coordinator-cut-off     | sleevecraft | a      | 0          | 0         | 0.25 |
      | link-flaps              | karamanlis  | a      | 0          | 0         | 0.25 |

    Examples: return and planned stop
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

  Scenario: coordination: a return writes nothing for 250 ms at most
    Given coordination hosts and members of "karamanlis"
    When the coordination trace "home-returns" is replayed for 40 seconds
    Then writes after 11 seconds were acknowledged at least every 0.25 seconds

  Scenario: coordination: the lead has moved 2 s after the notice
    Given coordination hosts and members of "karamanlis"
    When the coordination trace "primary-leaves" is replayed for 10 seconds
    Then member "b" leads in the end

  Scenario: coordination: the hold-down grows after a relapse
    Given coordination hosts and members of "karamanlis"
    When the coordination trace "home-fails-again" is replayed for 40 seconds
    Then the first return waited 5 seconds and the second 10

  Scenario: coordination: a lone member acknowledges nothing
    Given coordination hosts and members of "karamanlis"
    When the coordination trace "two-members-down" is replayed for 40 seconds
    Then the coordination broke no rule
    And no write was acknowledged between 8.3 and 16 seconds
    And member "b" leads in the end

  Scenario: coordination: two processes use no term twice
    Given coordination hosts and members of "sleevecraft"
    When the coordination trace "service-out-coordinator-dies" is replayed for 40 seconds
    Then no term was used by two processes

  Scenario Outline: coordination: a primary leaves replicas that lag by <lag> ms
    Given coordination replicas that lag by <lag> ms
    When the coordination trace "stop-planned" is replayed for 40 seconds
    Then the coordination broke no rule
    And member "b" leads in the end
    And writes were acknowledged at least every <gap> seconds

    Examples:
      | lag | gap  |
      | 5   | 0.25 |
      | 50  | 0.25 |
      | 250 | 6    |
      | 500 | 6    |

  Scenario: coordination: pairs and triples around promotion and handover
    When the coordination meets 8 sets of faults around its steps
    Then no set of faults broke a rule and each has settled

  Scenario Outline: coordination: <count> faults at a time, seed <seed>
    When the coordination meets <count> generated faults of seed <seed>
    Then the coordination broke no rule
    And the home layout stands again

    Examples:
      | count | seed |
      | 1     | 1    |
      | 1     | 2    |
      | 2     | 3    |
      | 2     | 4    |
      | 3     | 5    |
      | 3     | 6    |

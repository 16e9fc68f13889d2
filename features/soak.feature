Feature: Soak test of host processes under injected faults

  Scenario Outline: the checker reports a violated guarantee
    Given a soak run in which <observation>
    Then the checker reports a violation of "<guarantee>" alone

    Examples:
      | observation                                                        | guarantee       |
      | an acknowledged write is missing                                   | kept            |
      | a write took effect twice                                          | at-most-once    |
      | a write that was reported as not run took effect                   | not-run-is-true |
      | half of a transaction took effect                                  | whole           |
      | a read at primary freshness missed an acknowledged write           | fresh           |
      | a session did not read its own write                               | fresh           |
      | a read was answered with the data of another item                  | own-answer      |
      | a planned stop cut a write that a member had received              | planned-stop    |
      | a planned stop cut a read that a member had received               | planned-stop    |
      | a caller noticed the cut of a received request only after the exit | planned-stop    |
      | a planned stop cut a read that had waited for 1 s                  | planned-stop    |

  Scenario Outline: the checker accepts allowed behavior
    Given a soak run in which <observation>
    Then the checker reports no violation

    Examples:
      | observation                                               |
      | a promotion rolled back an acknowledged write             |
      | a bounded read returned data within its maximum age       |
      | a planned stop closed a session with a request in transit |
      | a planned stop cut a request during an unplanned fault    |
      | a planned stop cut a request that had reached its timeout |

  Scenario: the faults depend on the seed alone
    Then seed 7 generates the same faults twice and seed 8 generates others

  Scenario: the planned stops depend on the seed alone
    Then seed 7 stops every host in turn, and the same way each time

  Scenario: the restore depends on the seed alone
    Then seed 7 restores the store once, and the same way each time

  Scenario Outline: the monitor reports a configuration that is not in force
    Given a soak run whose hosts have a configuration in force
    When a host refuses the database <when>
    Then the checker reports a violation of "<guarantee>" alone

    Examples:
      | when                                   | guarantee  |
      | of the same configuration              | reverted   |
      | of a new configuration after the bound | configured |

  Scenario Outline: the monitor accepts a configuration before its bound
    Given a soak run whose hosts have a configuration in force
    When a host refuses the database <when>
    Then the checker reports no violation

    Examples:
      | when                                    |
      | after its restart and before the bound  |
      | of a new configuration before the bound |

  Scenario: a replica keeps its applied commits when its lag increases
    Given a replica that has applied 3 commits
    When the lag of the replica increases to 60 s
    Then the replica still returns the newest of the commits

  Scenario Outline: host processes keep the guarantees under the faults of a seed
    When the soak test runs seed <seed> with <hosts> hosts, <connections> connections and <length> s
    Then the checker reports no violation

    Examples: a short run
      | seed | hosts | connections | length | cause                             |
      | 7    | 5     | 4           | 2      | none; covers an unavailable store |

    Examples: seeds that failed before
      | seed | hosts | connections | length | cause                                                       |
      | 1    | 5     | 16          | 6      | the checker reported a session that closed between requests |
      | 8    | 3     | 16          | 6      | the emulated member undid commits that it had applied       |
      | 1007 | 5     | 4           | 5      | SIGTERM ends a host that is still importing its modules     |

  Scenario Outline: hosts that stop in turn answer every request they read
    When the soak test stops <hosts> hosts in turn with seed <seed>, <connections> connections and <length> s
    Then the checker reports no violation

    Examples: seeds that failed before
      | seed | hosts | connections | length | cause                                                        |
      | 205  | 5     | 16          | 6      | a host that had ended its drain took requests until its exit |
      | 301  | 5     | 16          | 6      | a host that had ended its drain took requests until its exit |
      | 305  | 5     | 16          | 6      | a host that had ended its drain took requests until its exit |

  Scenario Outline: hosts follow the store after it comes back from an older copy
    When the store is restored with seed <seed>, <hosts> hosts and <connections> connections
    Then the checker reports no violation

    Examples: seeds that failed before
      | seed | hosts | connections | cause                                             |
      | 10   | 3     | 4           | hosts ignored revisions that were given out again |

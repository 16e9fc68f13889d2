Feature: A soak of real hosts under faults from outside

  Scenario Outline: the soak notices a promise that is broken
    Given a soak in which <seen>
    Then it says that "<promise>" was broken

    Examples:
      | seen                                                | promise         |
      | an acknowledged write is missing                    | kept            |
      | a write took effect twice                           | at-most-once    |
      | a write that was told as not run took effect        | not-run-is-true |
      | half of a transaction took effect                   | whole           |
      | a read of the present missed an acknowledged write  | fresh           |
      | a session missed its own write                      | fresh           |
      | a read was answered with the data of another item   | own-answer      |
      | a planned stop cut a write that a member had seen   | planned-stop    |
      | a planned stop cut a read that had waited for 1 s   | planned-stop    |

  Scenario Outline: the soak accepts what is allowed
    Given a soak in which <seen>
    Then it says that no promise was broken

    Examples:
      | seen                                                 |
      | a promotion rolled an acknowledged write back        |
      | a read of the past is as old as its route accepts    |
      | a planned stop met a request that was on its way     |
      | a host was stopped while a link was cut              |

  Scenario: one seed draws the same faults every time
    Then the faults of seed 7 are the same twice, and others of seed 8

  Scenario: a member that falls behind keeps what it has applied
    Given a replica that has applied 3 commits
    When its lag grows to 60 s
    Then it still shows the newest of them

  Scenario Outline: real hosts keep their promises under the faults of a seed
    When the soak plays seed <seed> with <hosts> hosts, <connections> connections and <length> s
    Then it says that no promise was broken

    Examples: a short run
      | seed | hosts | connections | length | cause                         |
      | 7    | 5     | 4           | 2      | none; a store that goes away  |

    Examples: seeds that failed once
      | seed | hosts | connections | length | cause                                                           |
      | 1    | 5     | 16          | 6      | the checker took a session closed between requests for a cut    |
      | 8    | 3     | 16          | 6      | the emulated member went back behind what it had applied        |
      | 1007 | 5     | 4           | 5      | a host stopped while it still imports ends with the signal      |

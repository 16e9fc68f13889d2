Feature: Stand-in for the platform's key-value service
  Hosts must meet a service that compares and swaps, ends leases and
  loses answers after a change has taken effect.

  Background:
    Given a standins service at time 0

  Scenario: only one of two writers that expect the same revision wins
    When standins writer A puts "a" to "/k" expecting revision 0
    And standins writer B puts "b" to "/k" expecting revision 0
    Then the standins write of A succeeds
    And the standins write of B conflicts
    And the standins key "/k" holds "a"

  Scenario: a delete needs the revision of the last change
    When standins writer A puts "a" to "/k" expecting revision 0
    And standins writer B deletes "/k" expecting a revision that is one too low
    Then the standins write of B conflicts
    And the standins key "/k" holds "a"

  Scenario: a lease that is not renewed takes its keys with it
    Given a standins lease of 3 s
    And the standins key "/duty" is bound to the lease
    When the standins lease is renewed at 2 s
    Then at 4.9 s the standins key "/duty" holds "held"
    And at 5.1 s the standins key "/duty" is absent
    And a standins renewal at 5.2 s finds no lease
    And binding the standins key "/duty" to the lease is refused

  Scenario: an ordered lapse ends the lease of a holder that still renews
    Given a standins lease of 30 s
    And the standins key "/duty" is bound to the lease
    When the standins service is ordered to lapse "/duty"
    Then at 0.1 s the standins key "/duty" is absent
    And a standins renewal at 0.2 s finds no lease

  Scenario: an answer is lost after the change took effect
    When the standins service is ordered to lose 1 answers under "/k"
    Then the standins answers to writes of "/other /k/1 /k/2" are "kept lost kept"

  Scenario: a watch sees each change of its prefix once and in order
    Given a standins watch
    When standins writer A puts "a" to "/k" expecting revision 0
    And standins writer A deletes "/k" expecting its revision
    And standins writer A puts "c" to "/k" expecting revision 0
    Then the standins watch saw "a - c"

  Scenario: int64 numbers are strings and defaults are left out
    When standins writer A puts "a" to "/k" expecting revision 0
    Then the standins JSON of "/k" has mod_revision "2" and no lease
    And the standins JSON of "/none" has no keys

  Scenario Outline: a call that is not well formed is refused
    When the standins call "<path>" comes with <body>
    Then the standins call is refused as malformed

    Examples:
      | path        | body                |
      | kv/range    | {}                  |
      | kv/put      | {"key": 5}          |
      | lease/grant | {"TTL": "soon"}     |
      | auth/enable | {}                  |

  Scenario: each zone sees the ports of its own links
    Given the standins key "/platform/hosts" lists port 7000
    Then standins zone "near" sees port 7000
    And standins zone "far" sees port 9000

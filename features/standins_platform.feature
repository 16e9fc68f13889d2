Feature: Simulated key-value service of the platform
  Tests of hosts need a service that compares and swaps, expires leases and
  loses answers after a change has taken effect.

  Background:
    Given a simulated platform service at time 0

  Scenario: only one of two writers that expect the same revision succeeds
    When writer A puts "a" to "/k" expecting revision 0
    And writer B puts "b" to "/k" expecting revision 0
    Then the write of A succeeds
    And the write of B conflicts
    And the stored key "/k" holds "a"

  Scenario: a delete needs the revision of the last change
    When writer A puts "a" to "/k" expecting revision 0
    And writer B deletes "/k" expecting a revision that is one too low
    Then the write of B conflicts
    And the stored key "/k" holds "a"

  Scenario: the keys of a lease that is not renewed are deleted
    Given a service lease of 3 s
    And the stored key "/duty" is bound to the lease
    When the service lease is renewed at 2 s
    Then at 4.9 s the stored key "/duty" holds "held"
    And at 5.1 s the stored key "/duty" is absent
    And a lease renewal at 5.2 s finds no lease
    And binding the key "/duty" to the lease is refused

  Scenario: an ordered expiry ends a lease that its holder still renews
    Given a service lease of 30 s
    And the stored key "/duty" is bound to the lease
    When the simulated service is ordered to expire the lease of "/duty"
    Then at 0.1 s the stored key "/duty" is absent
    And a lease renewal at 0.2 s finds no lease

  Scenario: an answer is lost after the change took effect
    When the simulated service is ordered to lose 1 answers under "/k"
    Then the answers to writes of "/other /k/1 /k/2" are "kept lost kept"

  Scenario: a watch sees each change of its prefix once and in order
    Given a watch at the simulated service
    When writer A puts "a" to "/k" expecting revision 0
    And writer A deletes "/k" expecting its revision
    And writer A puts "c" to "/k" expecting revision 0
    Then the watch at the simulated service has seen "a - c"

  Scenario: int64 numbers are strings and default values are omitted
    When writer A puts "a" to "/k" expecting revision 0
    Then the JSON document of "/k" has mod_revision "2" and no lease
    And the JSON document of "/none" has no keys

  Scenario Outline: a malformed call is refused
    When the gateway call "<path>" is made with <body>
    Then the gateway call is refused as malformed

    Examples:
      | path        | body                |
      | kv/range    | {}                  |
      | kv/put      | {"key": 5}          |
      | lease/grant | {"TTL": "soon"}     |
      | auth/enable | {}                  |

  Scenario: each zone sees the ports of its own links
    Given the stored key "/platform/hosts" lists port 7000
    Then zone "near" reads port 7000
    And zone "far" reads port 9000

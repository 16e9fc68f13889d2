Feature: Duty of a shard
  A holder in the zone of the home primaries releases the duty sooner than
  others, so that a failure of that zone does not stop primary and
  coordinator together.

  Scenario Outline: a holder releases its duty when another host ranks first for the release delay
    Given a duty with home zone "a" that is held by a host of zone "<zone>"
    When a host of zone "<first>" has ranked first for <seconds> seconds
    Then the duty is <outcome>

    Examples:
      | zone | first | seconds | outcome    |
      | a    | b     | 6       | given back |
      | a    | b     | 3       | kept       |
      | c    | b     | 100     | kept       |
      | c    | b     | 301     | given back |

  Scenario: the acting process keeps its terms when terms are granted to others
    Given a record with terms granted in advance to the acting process
    When 8 other processes are granted terms
    Then the acting process still has its granted terms

  Scenario: terms of a host's earlier process are removed
    Given a record with terms granted in advance to the acting process
    When a new process of the same host is granted terms
    Then only the new process of the host has granted terms

  Scenario: a process reports the remaining time of its lease
    Given a duty with home zone "a" that is held by a host of zone "c"
    Then the remaining time of its lease is 900 seconds at 100
    And the remaining time of its lease is 0 seconds at 2000

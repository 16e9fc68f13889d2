Feature: Duty of a shard
  A zone that fails takes no primary and its coordinator at once.

  Scenario Outline: a holder that another host outranks gives its duty back
    Given a duty of home zone "a" held by a host of zone "<zone>"
    When a host of zone "<first>" has come first for <seconds> seconds
    Then the duty is <outcome>

    Examples:
      | zone | first | seconds | outcome    |
      | a    | b     | 6       | given back |
      | a    | b     | 3       | kept       |
      | c    | b     | 100     | kept       |
      | c    | b     | 301     | given back |

  Scenario: the acting process keeps its terms whoever claims others
    Given a record whose acting process holds terms ahead
    When 8 other processes claim terms ahead of it
    Then the acting process still holds terms ahead

  Scenario: terms of a host's earlier process are dropped
    Given a record whose acting process holds terms ahead
    When its host starts anew and claims terms ahead
    Then only the new process of the host holds terms

  Scenario: the state of a process tells how long its lease holds
    Given a duty of home zone "a" held by a host of zone "c"
    Then its lease holds for 900 seconds at 100
    And its lease holds for 0 seconds at 2000

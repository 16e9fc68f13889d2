Feature: Retry budget, admission, targets and leadership proofs

  Scenario: retries are limited to a share of the fresh requests
    Given a retry budget
    When 1000 fresh requests are received and refused
    Then between 100 and 110 retries are allowed

  Scenario: each upstream has a retry budget of its own
    Given a retry budget
    When 20 retries to "m/a" are requested
    Then 10 of the requested retries are allowed
    And "m/b" has 10 available retries

  Scenario Outline: a request is retried only if it has not run or may be repeated
    Given a retry budget
    Then a <kind> request is <answer> after "<failure>"

    Examples:
      | kind       | failure          | answer     |
      | single     | overloaded       | sent again |
      | single     | not-primary      | sent again |
      | single     | replica-behind   | sent again |
      | single     | statement-failed | given up   |
      | single     | peer-unreachable | given up   |
      | single     | outcome-unknown  | given up   |
      | repeatable | peer-unreachable | sent again |
      | repeatable | result-too-large | given up   |
      | repeatable | invalid-token    | given up   |

  Scenario: a host at its limit reserves capacity for writes that may not be repeated
    Given an entry host with a limit of 100 requests
    When 4 tenants send 300 requests of "lookup" each in turn
    Then 72 requests are in progress
    And a request of "filing" of tenant "t0" is admitted

  Scenario: a tenant with too many requests leaves a share to other tenants
    Given an entry host with a limit of 100 requests
    When tenant "flood" sends 300 requests of "lookup"
    And tenant "steady" sends 30 requests of "lookup"
    Then tenant "steady" has 30 requests in progress

  Scenario: a request at its deadline is not admitted
    Given an entry host with a limit of 100 requests
    Then a request of "filing" at its deadline is refused

  Scenario: the danger of a class grows with late answers and falls with time
    Given targets with 95 answers in time and 5 late answers of "lookup"
    Then the share of "lookup" is 0.95 and its target is met
    And the danger of the class is 1.0
    When 60 s pass without an answer
    Then the danger of the class is 0.0

  Scenario: the quantiles cover the answers in the window
    Given targets with one answer of "lookup" for each of 1 to 100 ms
    Then the median of "lookup" is about 50 ms and its 99th percentile 99 ms

  Scenario: unrepeatable writes have the highest priority, then the higher target share
    Then the classes by decreasing priority are "filing, search, status, lookup"

  Scenario: the leadership of a primary is proven by a majority without a newer fence
    Given a primary of term 3 in a group of 3 members that was asked at 10 s
    Then the leadership of the primary is not proven
    When replica "b" is asked at 9 s and reports the fenced term 3
    Then the leadership of the primary is proven as of 9 s
    And the primary's data is 3000 ms old at 12 s
    When replica "c" is asked at 11 s and reports the fenced term 4
    Then the leadership of the primary is proven as of 9 s
    When replica "b" is asked at 12 s and reports the fenced term 4
    Then the leadership of the primary is not proven

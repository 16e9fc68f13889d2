Feature: Retries, admission and targets

  Scenario: retries are a share of fresh traffic
    Given a retry budget
    When 1000 fresh requests and as many refusals come in
    Then between 100 and 110 retries are allowed

  Scenario: an upstream's retries are its own
    Given a retry budget
    When 20 retries of "m/a" are asked for
    Then 10 of them are allowed
    And "m/b" has 10 retries saved

  Scenario Outline: only what has not run or may run twice is sent again
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

  Scenario: a full host keeps room for writes that may not be repeated
    Given an entry host for 100 requests
    When 4 tenants ask for 300 "lookup" each in turn
    Then 72 requests are in work
    And "filing" of tenant "t0" is admitted

  Scenario: a tenant that floods leaves room for the others
    Given an entry host for 100 requests
    When tenant "flood" asks for 300 "lookup"
    And tenant "steady" asks for 30 "lookup"
    Then tenant "steady" has 30 requests in work

  Scenario: a request whose time is over is not admitted
    Given an entry host for 100 requests
    Then "filing" with no time left is refused

  Scenario: a class's danger grows with its late answers and fades
    Given targets that count 95 answers in time and 5 late ones of "lookup"
    Then the share of "lookup" is 0.95 and its target is met
    And its danger is 1.0
    When 60 s pass without an answer
    Then its danger is 0.0

  Scenario: the quantiles are those of the window
    Given targets that count answers of "lookup" from 1 to 100 ms
    Then the median of "lookup" is about 50 ms and its 99th percentile 99 ms

  Scenario: the stricter class is the single write, then the higher share
    Then the classes from strict to loose are "filing, search, status, lookup"

  Scenario: a primary is proven by a majority that no promotion had fenced
    Given the primary of term 3 in a group of 3, asked at 10 s
    Then it is not proven to lead
    When replica "b" answers at 9 s that it is fenced at term 3
    Then it is proven to lead as of 9 s
    And its data is 3000 ms old at 12 s
    When replica "c" answers at 11 s that it is fenced at term 4
    Then it is proven to lead as of 9 s
    When replica "b" answers at 12 s that it is fenced at term 4
    Then it is not proven to lead

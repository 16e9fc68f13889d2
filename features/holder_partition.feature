Feature: Routing around holders that do not reach a member

  A network partition cuts a primary off from some of the hosts that hold the
  connections to it. The other holders serve the requests meanwhile.

  Scenario Outline: five of eight holders are cut off from the primary
    Given 8 holders and 18 other hosts, seed <seed>
    When 60 requests per second arrive at the other hosts while 5 holders are cut off from 1 s to 8 s
    Then at least 80 % of the requests from 1 s to 2 s are served
    And at least 99 % of the requests from 2 s to 8 s are served
    And at least 99 % of the requests from 8 s to 9.5 s are served
    And no host takes the primary for failing
    And no request has run twice

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: callers of the holders that are cut off
    Given 8 holders and 18 other hosts, seed <seed>
    When 60 requests per second arrive at the cut holders while 5 holders are cut off from 1 s to 8 s
    Then at least 99 % of the requests from 2 s to 8 s are served
    And at least 99 % of the requests from 8 s to 9.5 s are served
    And no host takes the primary for failing
    And no request has run twice

    Examples: seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: customers whose first holder is cut off
    Given 8 holders and 18 other hosts for 20 customers, seed <seed>
    When 60 requests per second arrive at all hosts while 5 holders are cut off from 1 s to 8 s
    Then at least 99 % of the requests from 2 s to 8 s are served
    And at least 99 % of the requests from 8 s to 9.5 s are served
    And no host takes the primary for failing
    And no request has run twice

    Examples: seeds
      | seed |
      | 1    |
      | 2    |

  Scenario: a cut that ends
    Given 8 holders and 18 other hosts, seed 4
    When 60 requests per second arrive at the other hosts while 8 holders are cut off from 1 s to 4 s
    Then no request from 2 s to 3.5 s is served
    And no request from 2 s to 3.5 s may have run
    And at least 99 % of the requests from 5.5 s to 9.5 s are served
    And no host takes the primary for failing

  Scenario: a holder that knows that it is cut off refuses at once
    Given 8 holders and 1 other host, seed 1
    And 3 holders that know that they are cut off
    When the other host writes, with these holders first in rank
    Then the write is served within 30 ms
    And the 3 holders have refused it and 1 holder has served it
    And these holders are ranked behind the others, for 1 s

  Scenario: all holders are cut off and know it
    Given 8 holders and 1 other host, seed 1
    And 8 holders that know that they are cut off
    When the other host writes once
    Then the write is refused as not run
    And 8 holders have refused it
    And the other host takes the primary for failing
    And the holders have dialled no further connection for it

  Scenario: the time of a request ends before all holders were asked
    Given 8 holders and 1 other host, seed 1
    And 2 holders that know that they are cut off
    And 6 holders that are cut off and do not know it
    When the other host writes with a timeout of 0.3 s, with the holders that know first in rank
    Then the write is refused as not run
    And the other host does not take the primary for failing

  Scenario: a holder that is silent instead of refusing
    Given 8 holders and 1 other host, seed 1
    And the first holder in rank is silent
    When the other host writes once
    Then the outcome of the write is unknown
    And only the first holder was asked
    And the next write is served by another holder

  Scenario: a write whose answer is lost is not sent again
    Given 8 holders and 1 other host, seed 1
    And the first holder in rank loses the answers of the primary
    When the other host writes once
    Then the outcome of the write is unknown
    And the primary has run the write once
    And only the first holder was asked

  Scenario: a holder to which no channel can be opened
    Given 8 holders and 1 other host, seed 1
    And no channel can be opened to the first 2 holders in rank
    When the other host writes once
    Then the write is served within 350 ms
    And the other host does not take the primary for failing

  Scenario: a relayed request is never relayed further
    Given 8 holders and 1 other host, seed 1
    And 5 holders that know that they are cut off
    When each cut holder writes and the other host writes
    Then each request was sent by the host of its caller only
    And every write is served

  Scenario: a transaction passes over a holder that does not know its cut
    Given 8 holders and 1 other host, seed 1
    And the first holder in rank is cut off and does not know it
    When the other host runs a transaction
    Then the transaction is committed once

  Scenario: short dials show that a holder is cut off
    Given 8 holders and 1 other host, seed 1
    And the first holder in rank is cut off and does not know it
    When 2 requests of 0.3 s need a connection of this holder
    Then the holder knows that it is cut off

  Scenario: the checks of a holder find the member again
    Given 8 holders and 1 other host, seed 1
    And 1 holder that knows that it is cut off
    When the cut ends and the holder checks the primary for 0.5 s
    Then the holder serves requests of the other host again

  Scenario: a vote tells what the holder itself reaches
    Given 8 holders and 1 other host, seed 1
    And 1 holder that knows that it is cut off
    When the cut holder has been served through another holder
    Then the cut holder does not take the primary for failing
    And the cut holder reports in a vote that it does not reach the primary
    And the cut holder still begins a change of the primary

  Scenario: a caller of a holder that knows that it is cut off
    Given 8 holders and 1 other host, seed 1
    And 1 holder that knows that it is cut off
    When the cut holder writes
    Then the write is served within 30 ms
    And the holders have dialled one connection for it, at another holder

  Scenario: a probe of another host does not wait at a holder that is cut off
    Given 8 holders and 1 other host, seed 1
    And 3 holders that know that they are cut off
    When the other host asks the primary for a proof of its leadership
    Then the proof has come within 30 ms

  Scenario: requests that wait at a holder leave when it finds its cut
    Given 8 holders and 1 other host, seed 1
    And a holder with 2 requests that wait for its only connection
    When the holder finds that it is cut off
    Then both requests are refused at once

  Scenario: answers through other holders do not end a change of the primary
    Given 8 holders and 1 other host, seed 1
    And 1 holder that knows that it is cut off
    When the cut holder has been served through another holder
    Then the change of the primary at the cut holder goes on

  Scenario: the only holder of a member is cut off
    Given 1 holder and 2 other hosts, seed 1
    And 1 holder that knows that it is cut off
    When the other host writes once
    Then the write is refused as not run
    And the other host takes the primary for failing
    And the holder takes the primary for failing

  Scenario: hosts with connections of their own ask no other host
    Given 0 holders and 6 other hosts, seed 1
    When a host that is cut off writes twice
    Then both writes have waited for the dial timeout of 400 ms
    And the host has asked no other host
    And the host takes the primary for failing, as itself and by any path

  Scenario Outline: when a member counts as unreachable
    Given a search among <holders> holders
    When the holders answer <refusals>
    Then the member counts as <state>

    Examples:
      | holders | refusals                            | state       |
      | 1       | missed                              | unreachable |
      | 1       | other                               | reachable   |
      | 2       | missed                              | reachable   |
      | 2       | missed, missed                      | unreachable |
      | 2       | missed, unreached                   | reachable   |
      | 3       | missed, missed, unreached           | unreachable |
      | 3       | missed, missed                      | reachable   |
      | 3       | missed, missed, other               | reachable   |
      | 3       | unreached, unreached, unreached     | reachable   |

  Scenario: three refusals of other kinds end a search
    Given a search among 8 holders
    When the holders answer missed, other, missed, missed, other, unreached
    Then no further holder is asked

  Scenario: holders that failed are ranked last for a time
    Given holders "a", "b", "c" and "d" in this rank
    When "a" is silent and "b" reports that it misses the member
    Then the order is "c d b a"
    And the order after 0.9 s is "a c d b"
    And the order after 1.1 s is "a b c d"

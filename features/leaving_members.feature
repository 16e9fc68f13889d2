Feature: Leaving members get no requests after their time

  The time of a member counts from the announcement of its stop, whatever its
  role is and whenever a host has learnt of it.

  # Guards against a clock that starts when a leaving replica is promoted.
  Scenario: a leaving replica that is promoted gets no requests after its time
    Given a host that follows members "p" and "r" and is told 7000 ms to drain
    When "r" announces its stop
    And 4 s pass with answers of the service
    And "r" becomes the primary
    Then requests go to "r"
    When 2 s pass with answers of the service
    Then no request goes to "r"

  # Guards against a clock that starts anew with a host.
  Scenario: a host that starts does not grant a leaving primary its time anew
    Given a host that follows members "p" and "r" and is told 7000 ms to drain
    When "p" announces its stop
    Then requests go to "p"
    When the host starts again
    Then no request goes to "p"

  # Guards against a clock that starts when a host hears of the service again.
  Scenario Outline: the time counts from the last known state of the service
    Given a host that follows members "p" and "r" and is told <drain> ms to drain
    When <gap> s pass without an answer of the service
    And "p" announces its stop
    Then <verdict> to "p"

    Examples:
      | drain | gap | verdict         |
      | 7000  | 1   | requests go     |
      | 7000  | 6   | no request goes |
      | 10000 | 6   | requests go     |
      | 10000 | 9   | no request goes |

  # Guards against an announcement that a read brings after a broken watch.
  Scenario: a read after a broken watch does not date an announcement
    Given a host that follows members "p" and "r" and is told 7000 ms to drain
    When 6 s pass without an answer of the service
    And "p" announces its stop while the watch is broken
    And the host reads the service again
    Then no request goes to "p"

  # Guards against answers that a paused host reads late.
  Scenario: an answer that is read late does not tell the present state
    Given a host that follows members "p" and "r" and is told 7000 ms to drain
    When 6 s pass until the host reads an answer of the time before
    And "p" announces its stop
    Then no request goes to "p"

  Scenario: a member that stays after all, and leaves later, has its time again
    Given a host that follows members "p" and "r" and is told 7000 ms to drain
    When "p" announces its stop
    And 6 s pass with answers of the service
    Then no request goes to "p"
    When "p" withdraws its stop
    Then requests go to "p"
    When "p" announces its stop
    Then requests go to "p"

  # Guards against a late answer that counts as an answer in time.
  Scenario: a watch tells how late an answer is
    Given a watch whose answers a paused host reads 4 s late
    Then each answer is reported as 4 s old

Feature: Lost connection of running work
  A lost connection releases its slot and is not counted as a service time.

  Scenario: new work does not wait for work whose connection was lost
    Given a deadline queue whose only slot has run work for 5 s
    When the connection of the running work is lost
    Then the expected wait of new work is 0 ms

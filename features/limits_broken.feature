Feature: Work whose connection breaks
  A broken connection frees its slot and teaches no service time.

  Scenario: new work waits no longer after a connection broke
    Given a queue whose only slot runs work that began 5 s ago
    When the connection of the running work breaks
    Then new work of the queue is expected to wait 0 ms

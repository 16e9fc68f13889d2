Feature: Order, early refusal and fairness of the slot queue

  Scenario: the earliest deadline runs first if no work is critical
    Given a slot queue for 2 slots
    When "lookup" is queued with 250 ms left as "a"
    And "filing" is queued with 2000 ms left as "b"
    And "status" is queued with 100 ms left as "c"
    Then the slots run "c, a, b"

  Scenario: work of higher priority runs first once half of its time is used
    Given a slot queue for 2 slots
    When "lookup" is queued with 250 ms left as "a"
    And "filing" is queued with 900 ms left as "b"
    Then the slots run "b, a"

  Scenario: a class that misses its target precedes a class of lower priority
    Given a slot queue for 2 slots
    When the class "status" has missed its target
    And "lookup" is queued with 100 ms left as "a"
    And "status" is queued with 390 ms left as "b"
    Then the slots run "b, a"

  Scenario: work that would miss its deadline is refused at once
    Given a slot queue for 2 slots
    And measured service times of 20 ms
    When 40 pieces of "lookup" are queued with 250 ms left
    Then "lookup" with 250 ms left is refused as overloaded
    But "lookup" with 400 ms left is accepted
    And "filing" with 2000 ms left is accepted

  Scenario: queued work past its deadline expires without running
    Given a slot queue for 2 slots
    When "lookup" is queued with 100 ms left as "a"
    And 200 ms pass
    Then the work "a" expires
    And the slots run ""

  Scenario: reads run while writes are paused
    Given a slot queue for 2 slots
    When "filing" is queued with 900 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    Then the slots run "b" while writes are paused
    And the slots run "a"

  Scenario: cancelled work takes no slot
    Given a slot queue for 2 slots
    When "lookup" is queued with 200 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    And the work "a" is cancelled
    Then the slots run "b"

  Scenario: a tenant within its share precedes a tenant above its share
    Given a slot queue for 2 slots
    And measured service times of 10 ms
    When tenant "flood" queues 30 pieces of "lookup" with 250 ms left
    And tenant "steady" queues "lookup" with 250 ms left as "a"
    Then the slots run "a" within the first 4

  Scenario: a long service time loses its effect after some time
    Given a slot queue for 2 slots
    And measured service times of 15000 ms
    Then "filing" with 2000 ms left is refused as overloaded
    When 30000 ms pass
    Then "filing" with 2000 ms left is accepted

  Scenario: work that runs for too long is assumed to have ended
    Given a slot queue for 2 slots
    And measured service times of 40 ms
    When "lookup" is queued with 250 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    Then the slots run "a, b"
    And new work is expected to wait
    When 30000 ms pass
    Then new work is not expected to wait

  Scenario: cancelled work leaves no entries in the queue
    Given a slot queue for 2 slots
    When 12000 pieces of "filing" are queued and cancelled in turn
    Then the queue keeps no entries of the cancelled work

  Scenario Outline: generated work keeps the queue rules unless there is a deliberate fault
    When generated work is queued in <kind>
    Then <rule>

    Examples:
      | kind                          | rule                            |
      | a deadline queue              | each rule of the queue holds    |
      | a queue that serves the last  | a rule of the queue is broken   |
      | a queue that forgets a hold   | a rule of the queue is broken   |
      | a queue that runs late work   | a rule of the queue is broken   |

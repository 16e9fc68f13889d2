Feature: Order of the slots, early refusal and fairness

  Scenario: without need the earliest deadline goes first
    Given a slot queue for 2 slots
    When "lookup" is queued with 250 ms left as "a"
    And "filing" is queued with 2000 ms left as "b"
    And "status" is queued with 100 ms left as "c"
    Then the slots go to "c, a, b"

  Scenario: strict work goes first once half of its time is gone
    Given a slot queue for 2 slots
    When "lookup" is queued with 250 ms left as "a"
    And "filing" is queued with 900 ms left as "b"
    Then the slots go to "b, a"

  Scenario: a class in danger goes before a looser one
    Given a slot queue for 2 slots
    When the class "status" has missed its target
    And "lookup" is queued with 100 ms left as "a"
    And "status" is queued with 390 ms left as "b"
    Then the slots go to "b, a"

  Scenario: work that could not be in time is refused at once
    Given a slot queue for 2 slots
    And service times of 20 ms
    When 40 pieces of "lookup" are queued with 250 ms left
    Then "lookup" with 250 ms left is refused as overloaded
    But "lookup" with 400 ms left is taken
    And "filing" with 2000 ms left is taken

  Scenario: queued work that has become late is given back unrun
    Given a slot queue for 2 slots
    When "lookup" is queued with 100 ms left as "a"
    And 200 ms pass
    Then "a" is given back
    And the slots go to ""

  Scenario: a hold keeps writes in the queue and lets reads run
    Given a slot queue for 2 slots
    When "filing" is queued with 900 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    Then the slots go to "b" while writes are held
    And the slots go to "a"

  Scenario: work whose caller has gone takes no slot
    Given a slot queue for 2 slots
    When "lookup" is queued with 200 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    And the caller of "a" has gone
    Then the slots go to "b"

  Scenario: a tenant within its share goes before one that floods
    Given a slot queue for 2 slots
    And service times of 10 ms
    When tenant "flood" queues 30 pieces of "lookup" with 250 ms left
    And tenant "steady" queues "lookup" with 250 ms left as "a"
    Then the slots go to "a" within the first 4

  Scenario: a service time that was long once is not believed for ever
    Given a slot queue for 2 slots
    And service times of 15000 ms
    Then "filing" with 2000 ms left is refused as overloaded
    When 30000 ms pass
    Then "filing" with 2000 ms left is taken

  Scenario: work that was taken and never ended is forgotten
    Given a slot queue for 2 slots
    And service times of 40 ms
    When "lookup" is queued with 250 ms left as "a"
    And "lookup" is queued with 250 ms left as "b"
    Then the slots go to "a, b"
    And new work is expected to wait
    When 30000 ms pass
    Then new work is not expected to wait

  Scenario: the queue stays within its bound
    Given a slot queue for 2 slots
    When 12000 pieces of "filing" are queued and cancelled in turn
    Then the queue keeps no trace of them

  Scenario Outline: generated work keeps the order's rules
    When generated work is queued in <kind>
    Then <rule>

    Examples:
      | kind                          | rule                            |
      | a deadline queue              | each rule of the slots holds    |
      | a queue that serves the last  | a rule of the slots is broken   |
      | a queue that forgets a hold   | a rule of the slots is broken   |
      | a queue that runs late work   | a rule of the slots is broken   |

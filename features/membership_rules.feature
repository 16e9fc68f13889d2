Feature: Invariants of membership

  Scenario: The merge of records does not depend on order and repetition
    Then membership records merge equally in any order and number

  Scenario: The hosts converge after any two faults
    Then after any 2 membership faults the hosts converge

  Scenario: The hosts converge after any three faults
    Then after any 3 membership faults the hosts converge

  Scenario: The schedules detect a host that never refutes
    Given membership with the fault "never refutes"
    Then after some 2 membership faults the hosts do not converge

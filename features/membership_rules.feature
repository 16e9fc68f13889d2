Feature: Rules of membership that always hold

  Scenario: Records merge in any order and number
    Then membership records merge alike in any order and number

  Scenario: The hosts agree again after any two faults
    Then after any 2 membership faults the hosts agree again

  Scenario: The hosts agree again after any three faults
    Then after any 3 membership faults the hosts agree again

  Scenario: A host that never refutes is noticed
    Given membership with the fault "never refutes"
    Then some 2 membership faults leave the hosts divided

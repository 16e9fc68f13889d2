Feature: Registration of a host when the platform's service loses writes

  Background:
    Given a service and two hosts

  Scenario: a host registers again at once after its registration was lost
    When the first host registers and the service loses that
    And the first host learns of the new era
    Then the first host is registered without a renewal of its old lease

  Scenario: a stopping host keeps the entry of a host that got its lease number
    When the first host registers and the service loses that
    And the second host registers with the same lease number
    And the first host stops
    Then the second host is registered

  Scenario: a stopping host removes its entry
    When the first host registers
    And the first host stops
    Then the first host is not registered

  Scenario: a refused registration goes on with the lease that was granted
    When the service refuses the entry of the first host once
    Then the first host has been granted 1 lease

  Scenario: a host that an older copy lists registers again with few writes
    When the first host registers
    And the service returns from a copy with the entry of the first host
    Then the first host has registered with a lease and one more write

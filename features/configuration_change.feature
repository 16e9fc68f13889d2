Feature: Changes of the declarations by compare-and-swap

  Scenario: A change raises the revision by one
    When the configuration change "first" is submitted
    Then the configuration change is applied as revision 1
    And the platform's service holds the configuration change "first"

  Scenario: A conflicting change is refused
    Given the configuration change "first" is in force
    When the configuration change "mine" is submitted upon revision 0
    Then the configuration change is refused as a conflict
    And the platform's service holds the configuration change "first"

  Scenario Outline: A lost answer is resolved truly
    Given the configuration change "first" is in force
    And the next configuration write has the fault "<fault>"
    When the configuration change "mine" is submitted
    Then the configuration change is applied as revision 2
    And the platform's service holds 2 configuration changes

    Examples:
      | fault       |
      | lost-before |
      | lost-after  |
      | conflict    |

  Scenario: A lost answer is found under a later change
    Given the configuration change "first" is in force
    And the configuration change "theirs" comes after the next lost write
    When the configuration change "mine" is submitted
    Then the configuration change is applied as revision 2
    And the platform's service holds the configuration change "theirs"

  Scenario: A lost change that a conflict overtook is not applied
    Given the configuration change "first" is in force
    And the configuration change "theirs" overtakes the next lost write
    When the configuration change "mine" is submitted upon revision 1
    Then the configuration change is refused as a conflict
    And the platform's service holds the configuration change "theirs"

  Scenario: A change submitted twice is applied once
    Given the configuration change "first" is in force
    When the configuration change "first" is submitted
    Then the configuration change is applied as revision 1
    And the platform's service holds 1 configuration changes

  Scenario: Without the service nothing is applied
    Given the platform's service is out for configuration changes
    When the configuration change "mine" is submitted
    Then the configuration change is not applied

  Scenario: A service that loses every answer leaves the change unknown
    Given the configuration change "first" is in force
    And every configuration write is lost without effect
    When the configuration change "mine" is submitted
    Then the configuration change stays unknown

  Scenario: A late copy of a lost write has no effect
    Given the configuration change "first" is in force
    And the next configuration write is lost and arrives late
    When the configuration change "mine" is submitted
    And the late configuration write arrives
    Then the configuration change is applied as revision 2
    And the platform's service holds 2 configuration changes

  Scenario: What is said of a change is true in any order of faults
    Then any faults and rivals leave true answers to configuration changes

  Scenario: A careless writer is noticed
    Then a writer that takes a lost answer for a failure is noticed

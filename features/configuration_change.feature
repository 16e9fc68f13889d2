Feature: Changes of the declarations by compare-and-swap

  Scenario: A change raises the revision by one
    When the configuration change "first" is submitted
    Then the configuration change is applied as revision 1
    And the platform's service holds the configuration change "first"

  Scenario: A conflicting change is refused
    Given the configuration change "first" is in force
    When the configuration change "mine" is submitted with the expected revision 0
    Then the configuration change is refused as a conflict
    And the platform's service holds the configuration change "first"

  Scenario Outline: A change is applied once after a fault of its write
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

  Scenario: A change whose answer is lost is recognized after a later change
    Given the configuration change "first" is in force
    And the configuration change "theirs" follows the next lost write
    When the configuration change "mine" is submitted
    Then the configuration change is applied as revision 2
    And the platform's service holds the configuration change "theirs"

  Scenario: A lost change that another change preceded is refused
    Given the configuration change "first" is in force
    And the configuration change "theirs" precedes the next lost write
    When the configuration change "mine" is submitted with the expected revision 1
    Then the configuration change is refused as a conflict
    And the platform's service holds the configuration change "theirs"

  Scenario: A change submitted twice is applied once
    Given the configuration change "first" is in force
    When the configuration change "first" is submitted
    Then the configuration change is applied as revision 1
    And the platform's service holds 1 configuration changes

  Scenario: A change during an outage of the service is not applied
    Given the platform's service fails for configuration changes
    When the configuration change "mine" is submitted
    Then the configuration change is not applied

  Scenario: The outcome of a change is unknown if every answer is lost
    Given the configuration change "first" is in force
    And every configuration write is lost without effect
    When the configuration change "mine" is submitted
    Then the outcome of the configuration change is unknown

  Scenario: A late copy of a lost write has no effect
    Given the configuration change "first" is in force
    And the next configuration write is delayed and its answer lost
    When the configuration change "mine" is submitted
    And the delayed configuration write arrives
    Then the configuration change is applied as revision 2
    And the platform's service holds 2 configuration changes

  Scenario: The reported outcome of a change is correct under any faults
    Then the outcomes of configuration changes are correct under any faults and concurrent changes

  Scenario: A writer that ignores lost answers is detected
    Then a writer that takes a lost answer for a failure is detected

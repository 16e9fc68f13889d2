Feature: Start of a host by the deploy file

  A host that restarts after a loss of power serves nobody until its program
  is loaded.

  Scenario: a host starts without the site packages of its machine
    When the program is loaded with the interpreter options of the deploy file
    Then the interpreter has not loaded the site packages of the machine

  Scenario: a change of the settings during the start does not end the process
    Given a host that is reading its settings
    When the host is told that its settings have changed
    And it gets settings that are invalid
    Then it exits with status 1

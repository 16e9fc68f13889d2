Feature: The state dump is described whole

  Scenario: each field of the dump stands in docs/OPERATIONS.md
    When the tables of the page "docs/OPERATIONS.md" are read
    Then each section of the state dump has a row for each field

  Scenario: each event that an alarm names exists
    When the alarms of the page "docs/OPERATIONS.md" are read
    Then each event number of the alarms is in the code

Feature: The state dump is described whole

  Scenario: each field of the dump stands in docs/OPERATIONS.md
    When the tables of the page "docs/OPERATIONS.md" are read
    Then each section of the state dump has a row for each field

  Scenario: each event that an alarm names exists
    When the alarms of the page "docs/OPERATIONS.md" are read
    Then each event number of the alarms is in the code

  Scenario: every page for operators is reached from the first
    When the links of the page "docs/OPERATIONS.md" are read
    Then each link leads to a file
    And each page of "docs/operations" is linked

  Scenario Outline: no link of a page leads nowhere
    When the links of the page "<page>" are read
    Then each link leads to a file

    Examples:
      | page                  |
      | docs/CLIENT.md        |
      | docs/COMMANDS.md      |
      | examples/README.md    |

Feature: Documentation of the state dump and of operators' pages

  Scenario: docs/OPERATIONS.md describes each field of the state dump
    When the tables of the page "docs/OPERATIONS.md" are read
    Then each section of the state dump has a row for each field

  Scenario: each event that an alarm names exists
    When the alarms of the page "docs/OPERATIONS.md" are read
    Then each event number of the alarms is in the code

  Scenario: docs/OPERATIONS.md links every page for operators
    When the links of the page "docs/OPERATIONS.md" are read
    Then each link leads to a file
    And each page of "docs/operations" is linked

  Scenario Outline: each link of a page leads to an existing file
    When the links of the page "<page>" are read
    Then each link leads to a file

    Examples:
      | page                  |
      | docs/CLIENT.md        |
      | docs/COMMANDS.md      |
      | examples/README.md    |

Feature: The page of the configuration is whole

  Scenario Outline: each <subject> stands in docs/CONFIGURATION.md
    When the tables of the page "docs/CONFIGURATION.md" are read
    Then each <subject> stands in the table of the section "<section>"

    Examples:
      | subject                     | section                              |
      | fault of declarations       | Faults                               |
      | setting of the process      | Process settings of `trefoilpulleyd` |
      | setting of the command line | Settings of the command line         |

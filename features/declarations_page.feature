Feature: Documentation of the configuration

  Scenario Outline: docs/CONFIGURATION.md lists each <subject>
    When the tables of the page "docs/CONFIGURATION.md" are read
    Then the table of the section "<section>" lists each <subject>

    Examples:
      | subject                     | section                              |
      | fault of declarations       | Faults                               |
      | setting of the process      | Process settings of `trefoilpulleyd` |
      | setting of the command line | Settings of the command line         |

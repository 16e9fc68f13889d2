Feature: Catalogue of the log events
  Operators look each numbered event up in the documentation.

  Scenario: the page of events lists each event of the code and no other
    When the page of events is compared with the code
    Then both hold the same numbers and names

  Scenario: an event that the page lacks is noticed
    When the page of events without its last row is compared with the code
    Then the events "1901" are missing from the page

  Scenario: each event of the code is logged somewhere
    When the sources of the node are searched for the events
    Then none is unused

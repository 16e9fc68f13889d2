Feature: Catalogue of the log events
  Operators look up each event by its number in docs/EVENTS.md.

  Scenario: the page of events lists exactly the events of the code
    When the page of events is compared with the code
    Then both list the same numbers and names

  Scenario: the comparison detects an event that the page lacks
    When the page of events without its last row is compared with the code
    Then the events "1901" are missing from the page

  Scenario: the node logs each event of the code
    When the sources of the node are searched for the events
    Then no event is unused

Feature: Every error stands on its page
  Callers look up in docs/ERRORS.md whether a request has run and whether
  it may be sent again.

  Scenario: the page agrees with the catalogue
    When the errors of the page "docs/ERRORS.md" are compared with the catalogue
    Then each error has the row that the catalogue gives
    And no two errors share a code

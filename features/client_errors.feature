Feature: The page of errors matches the catalogue of failures
  docs/ERRORS.md states for each error whether the request has run and
  whether it may be sent again.

  Scenario: each failure has a row on the page
    When the errors of the page "docs/ERRORS.md" are compared with the catalogue
    Then the page has exactly the rows of the catalogue
    And no two errors share a code

Feature: Routes that move to another service

  Background:
    Given an emulated deployment of 3 hosts
    And a second service "archive"

  # Guards against a proof of one service that counts for another one.
  Scenario: a commit behind a route change does not prove the new service
    When a transaction of "orders" writes at "ledger" through host 0
    And the route of "orders" moves to "archive"
    And the transaction commits
    Then host 0 knows the commit as a position of "ledger"
    And host 0 knows no position or primary of "archive" that is not its own

  # Guards against statements of a transaction that are answered by one service
  # and counted for another one.
  Scenario: a transaction goes on at its service after a route change
    When a transaction of "orders" writes at "ledger" through host 0
    And the route of "orders" moves to "archive"
    And the transaction writes once more and commits
    Then all its writes are at "ledger" and none is at "archive"

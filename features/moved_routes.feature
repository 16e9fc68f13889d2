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

  # Guards against a floor of one service that hides the floor of another one.
  Scenario: a session reads its own commit after its route has moved there and back
    Given replicas of "ledger" that apply no further commit
    When a session of "orders" writes "mine" to "k" through host 0
    And the route of "orders" moves to "archive"
    And the session writes "other" to "k"
    And the route of "orders" moves to "ledger"
    Then each of 20 reads of "k" in the session returns "mine"

  # Guards against a late proof of a member that is not one of the group's own.
  Scenario Outline: a proof by an access that is not the group's own is not recorded
    When the route of "orders" moves to "archive"
    And a proof of <member> arrives for "archive"
    Then host 0 knows no position or primary of "archive" that is not its own

    Examples:
      | member                               |
      | the primary of "ledger"              |
      | a former access to its own primary   |

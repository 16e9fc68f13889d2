Feature: Changes of primary that are left open

  # Guards against an order of promotion that is carried out after its cause is
  # over, and loses the commits acknowledged since (LOST).
  Scenario: an order without an answer does not replace the primary later
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And orders of promotion get no answer and are carried out 4 s late
    And the primary crashes
    And a promotion has been ordered
    And the primary comes back
    And the replica that is not to be promoted is replaced by a member at its address
    And the order has been given up
    And orders of promotion are answered again
    Then a write is acknowledged without another primary
    When 5 writes are acknowledged
    And the late orders have been carried out
    Then the primary leads as before
    And every acknowledged commit is still there

  # Guards against a rollback of commits that were acknowledged meanwhile.
  Scenario: an order without an answer rolls back no later commit
    Given a group of 3 members of which 0 must confirm a commit
    When 5 writes are acknowledged
    And orders of promotion get no answer and are carried out 4 s late
    And the primary crashes
    And a promotion has been ordered
    And the primary comes back
    And the order has been given up
    And orders of promotion are answered again
    Then a write is acknowledged without another primary
    When the late orders have been carried out
    Then the primary leads as before

  # Guards against an order that nobody remembers once its host is gone.
  Scenario: hosts that have started since end the order of a host that is gone
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And orders of promotion get no answer and are carried out 4 s late
    And the primary crashes
    And a promotion has been ordered
    And every host is replaced by one that has just started
    And the primary comes back
    And the replica that is not to be promoted is replaced by a member at its address
    And orders of promotion are answered again
    Then a write is acknowledged without another primary
    When the late orders have been carried out
    Then the primary leads as before
    And every acknowledged commit is still there

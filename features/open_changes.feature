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

  # Guards against replicas that hold for good after a change that could order
  # nothing, so that no write is served any more (RECOVER).
  Scenario: replicas go on after a change that could not order a promotion
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And the promotion service is down
    And the primary crashes
    And the replicas have been told to hold
    And the primary comes back
    Then a write is acknowledged without another primary
    And every acknowledged commit is still there

  # Guards against replicas that only the host that is gone would resume.
  Scenario: hosts that have started since resume replicas that hold
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And orders of promotion get no answer and are carried out 4 s late
    And the primary crashes
    And a promotion has been ordered
    And every host is replaced by one that has just started
    And the primary comes back
    And orders of promotion are answered again
    Then a write is acknowledged without another primary
    When the late orders have been carried out
    Then the primary leads as before
    And every acknowledged commit is still there

  # Guards against a HOLD that no claim in the service tells of.
  Scenario: a replica that holds without a change is told to resume
    Given a group of 3 members of which 1 must confirm a commit
    When the last replica receives nothing
    And the other replica holds for a term that nobody will lead
    Then a write is acknowledged without another primary
    And no promotion has been ordered

  # Guards against a host that orders as soon as it has started, in the middle of
  # another host's change (ONE).
  Scenario: a host that has just started leaves an open change to its holder
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And orders of promotion get no answer and are carried out 4 s late
    And the primary crashes
    And a promotion has been ordered
    And a host joins the others
    Then the new host has ordered no promotion 3 s after its start

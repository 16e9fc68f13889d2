Feature: Failover of a group with synchronous replicas

  # Guards against a replica without acknowledged commits that is promoted once
  # the members that have them are no longer listed (LOST).
  Scenario: members that are no longer listed count for the completeness of a log
    Given a group of 3 members of which 1 must confirm a commit
    When the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica is lost for good
    And the primary crashes
    And the entries of the crashed members expire
    And the last replica receives again
    Then no member is promoted while the hosts know the last replica alone
    And the hosts name the members that they miss
    When the primary comes back
    Then a write is acknowledged without a promotion
    And every acknowledged commit is still there

  # Guards against a host that counts only the members which it has seen.
  Scenario: a host that has started since knows the members that are not listed
    Given a group of 3 members of which 1 must confirm a commit
    When the hosts have stored which members count
    And the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica is lost for good
    And the primary crashes
    And the entries of the crashed members expire
    And every host is replaced by one that has just started
    Then no member is promoted while the hosts know the last replica alone

  # Guards against a replica that lacks what its lost peers had confirmed.
  Scenario: a replica that has received nothing does not follow two lost peers
    Given a group of 3 members of which 1 must confirm a commit
    When the hosts have stored which members count
    And the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica is replaced by a member at its address
    And the hosts count the successor
    And the successor is lost for good
    And the primary crashes
    And the entries of the crashed members expire
    Then no member is promoted while the hosts know the last replica alone

  # Guards against a member that goes on confirming while nobody counts it.
  Scenario: a member that has lost its entry alone still counts
    Given a group of 3 members of which 1 must confirm a commit
    When the hosts have stored which members count
    And the entry of the last replica is removed while it runs on
    And the hosts have no access to it any more
    Then the hosts still count it

  # Guards against a group that can't fail over any more after one loss.
  Scenario: a group that has lost a member for good still fails over
    Given a group of 4 members of which 1 must confirm a commit
    When the hosts have stored which members count
    And the last replica is lost for good
    And its entry expires and the hosts no longer count it
    And 5 writes are acknowledged
    And the primary crashes
    Then a write is acknowledged after a promotion
    And every acknowledged commit is still there

  # Guards against a failover that waits for a primary although every replica
  # is back.
  Scenario: a replica that comes back with its log completes the group
    Given a group of 3 members of which 1 must confirm a commit
    When the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica crashes
    And the primary crashes
    And the entries of the crashed members expire
    And the other replica comes back with its log
    And the last replica receives again
    Then a write is acknowledged after a promotion
    And every acknowledged commit is still there

  # Guards against a leaving member that counts although its successor has its
  # log.
  Scenario: the successor of a member that has left counts in its place
    Given a group of 3 members of which 1 must confirm a commit
    When the hosts have stored which members count
    And 5 writes are acknowledged
    And the other replica is replaced by a member at its address
    And the hosts count the successor
    And the primary crashes
    Then a write is acknowledged after a promotion
    And every acknowledged commit is still there

  Scenario: the state dump names the members that count
    Given a group of 3 members of which 1 must confirm a commit
    When the hosts have stored which members count
    Then the state dump names the members that count and the floor

  Scenario: an operator gives up the commits of members that are lost for good
    Given a group of 3 members of which 1 must confirm a commit
    When the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica is lost for good
    And the primary crashes
    And the entries of the crashed members expire
    Then no member is promoted while the hosts know the last replica alone
    When the configuration requires 0 replicas to confirm
    Then a write is acknowledged after a promotion

  # Guards against a count that begins with the configuration alone.
  Scenario: a group that comes to synchronous replicas counts its members from then on
    Given a group of 3 members of which 0 must confirm a commit
    When 5 writes are acknowledged
    And the configuration requires 1 replicas to confirm
    And the hosts have stored which members count
    And the last replica receives nothing
    And 5 writes are acknowledged
    And the other replica is lost for good
    And the primary crashes
    And the entries of the crashed members expire
    Then no member is promoted while the hosts know the last replica alone

  Scenario: a planned stop of a primary keeps every confirmed commit
    Given a group of 3 members of which 1 must confirm a commit
    When 5 writes are acknowledged
    And the primary announces that it will stop
    Then another member eventually becomes primary
    And every acknowledged commit is still there

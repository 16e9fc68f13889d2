Feature: Planned stop of a host in the pooled mode
  A planned stop loses no request of a caller or of another host that the
  host has read.

  Scenario: a planned stop cut a commit, which is neither admitted nor open
    Given a host in the pooled mode
    When the host is drained while a caller's "commit" is in progress
    Then the caller's request is answered and the host stops

  Scenario: a planned stop cut the work of another host that had no slot yet
    Given a host in the pooled mode
    When the host is drained while a peer's "read" is in progress
    Then the peer's request is answered and the host stops

  Scenario: a host ended its services while other hosts still sent work
    Given a host in the pooled mode
    When the host is drained and a peer sends work while the services stop
    Then the host does not handle the work

  Scenario: a request that outlasted the planned stop had no answer
    Given a host in the pooled mode
    When the drain time of the host ends while a caller's "commit" is in progress
    Then the caller's request is refused as "outcome-unknown" and the host stops

  Scenario: a request without a member had an unknown outcome after a planned stop
    Given a host in the pooled mode
    When the drain time of the host ends while a statement waits for a member
    Then the caller's request is refused as "no-upstream" and the host stops

Feature: Following the platform's service with a watch and reads

  The watch is active before the keys are read page by page, so that changes
  are reported while older pages are still on their way.

  Scenario: a member that leaves during a read is not taken for a new one
    Given a service that lists member "m1"
    When a host reads the service and "m1" is deleted after its page was read
    Then after the grace period the host has no member

  Scenario: a member that joins during a read is kept
    Given a service that lists member "m1"
    When a host reads the service and "m2" is added after its page was read
    Then after the grace period the host has the members "m1 m2"

  Scenario: a change of a member that joined during a read takes effect
    Given a service that lists member "m1"
    When a host reads the service and "m2" is added after its page was read
    And member "m2" reports that it is leaving
    Then the host knows that "m2" is leaving

  Scenario: a member that leaves and comes back during a read is kept
    Given a service that lists member "m1"
    When a host reads the service and "m1" is replaced after its page was read
    Then after the grace period the host has the members "m1"

  Scenario: a member that left while the history was lost is removed
    Given a service that lists member "m1"
    And a host that has read the service
    When "m1" is deleted while the watch of the host is broken
    And the service has lost its history
    Then after the grace period the host has no member

  Scenario: a member that joined in the lost time of the service is removed
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses the entry of "m2" by its return from a copy
    Then after the grace period the host has the members "m1"

  Scenario: a leaving member gets no new work from an older copy of the service
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses by its return from a copy that "m1" leaves
    Then the host knows that "m1" is leaving

  Scenario: a member that left gets no work from an older copy of the service
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses by its return from a copy that "m1" was deleted
    Then the host has no member
    When member "m1" writes its entry again
    Then after the grace period the host has the members "m1"

  Scenario: a host whose registration the service has lost is kept for a moment
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses the registration of "h1" by its return from a copy
    Then the host knows the hosts "h1"
    And after the grace period it knows no host

  Scenario: a host is kept while the service that lost its registration is down
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses the registration of "h1" by its return from a copy
    And the service is down during the grace period
    Then the host knows the hosts "h1"
    When the service is followed again
    Then after the grace period it knows no host

  Scenario: the grace period begins anew when the service returns a second time
    Given a service that lists member "m1"
    And a host that has read the service
    When the service loses the registration of "h1" by its return from a copy
    And the service returns from a copy once more within the grace period
    Then the host knows the hosts "h1"
    And after the grace period it knows no host

  Scenario: a host whose registration ended is removed at once
    Given a service that lists member "m1"
    And a host that has read the service
    When "h1" registers and stops
    Then the host knows no host

  Scenario: an entry that can't be applied does not end the watch
    Given a service that lists member "m1"
    And a host that has read the service
    When an entry of member "m0" fails with an unexpected error
    And member "m1" reports that it is leaving
    Then the host knows that "m1" is leaving

  Scenario: a member is removed though its entry may have returned unseen
    Given a service that lists member "m1"
    And a host that has read the service
    When "m1" is deleted and the service does not answer any more
    Then the host has the members "m1"
    And after the grace period the host has no member

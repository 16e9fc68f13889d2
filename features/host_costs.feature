Feature: Calls to the platform's service at the start of many hosts

  A watch of each host that returns for each registration of another host
  makes the calls grow with the square of the number of hosts.

  Scenario: a host of a large deployment gathers the registrations of the others
    Given a host that watches a service with 30 hosts
    When 56 hosts register, one each 40 ms
    Then the watch has made at most 7 calls
    And it has reported 56 changes

  Scenario: a host of a small deployment learns of changes as before
    Given a host that watches a service with 3 hosts
    When 20 hosts register, one each 100 ms
    Then no change was reported later than 250 ms

  Scenario: a change among registrations is reported before a promotion is over
    Given a host that watches a service with 30 hosts
    When 56 hosts register, one each 40 ms
    Then no change was reported later than 500 ms

  Scenario: a change after a calm time is reported at once
    Given a host that watches a service with 30 hosts
    When 5 hosts register, one each 2000 ms
    Then no change was reported later than 0 ms

  Scenario: a change of another kind ends the long pauses
    Given a host that watches a service with 30 hosts
    When 56 hosts register and then as many claims are written, one each 40 ms
    Then the last 30 changes were not reported later than 250 ms

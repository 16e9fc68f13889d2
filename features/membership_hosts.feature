Feature: Membership and configuration documents over TCP

  Background:
    Given small hosts in 3 zones with 2 hosts each

  Scenario: Hosts agree on the live hosts and the documents
    Then all small hosts see each other live
    When a change of the declarations is applied
    Then all small hosts hold the change

  Scenario: A killed host is removed from the live hosts
    Given all small hosts see each other live
    When the small host "z1-h0" is killed
    Then all small hosts see each other live

  Scenario: A leaving host is removed from the live hosts while it runs
    Given all small hosts see each other live
    When the small host "z1-h0" leaves
    Then the other small hosts no longer see "z1-h0" live

  Scenario: A host starts while the service is unavailable
    Given all small hosts see each other live
    And a change of the declarations is applied
    And all small hosts hold the change
    When the platform service of the small hosts goes down
    And the small host "z2-h9" starts with the seed "z0-h1"
    Then all small hosts see each other live
    And all small hosts hold the change

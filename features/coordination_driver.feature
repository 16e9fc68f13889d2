Feature: The coordinator role of a host
  Greenlets carry the decisions to the members and the service.

  Scenario: coordination driver: a lost primary is replaced
    Given a coordination driver before three members
    When the coordination driver has its terms
    And the leading member of the coordination driver goes away
    Then the coordination driver reports another primary
    And the coordination dump shows the duty of this host

  Scenario: coordination driver: a lost primary is replaced in an outage of the service
    Given a coordination driver before three members
    When the coordination driver has its terms
    And the service of the coordination driver goes down
    And the leading member of the coordination driver goes away
    Then the coordination driver reports another primary

  Scenario: coordination driver: a host that stops frees its duties
    Given a coordination driver before three members
    When the coordination driver has its terms
    And the coordination driver stops
    Then no lease is left for the coordination driver

Feature: Coordinator role of a host
  Greenlets carry out the decisions at the members and in the platform's
  service.

  Scenario: coordination driver: a lost primary is replaced
    Given a coordination driver of a database with three members
    When the coordination driver has been granted its terms
    And the primary of the coordination driver fails
    Then the coordination driver reports a new primary
    And the coordination dump shows that this host has the duty

  Scenario: coordination driver: a lost primary is replaced during an outage of the platform's service
    Given a coordination driver of a database with three members
    When the coordination driver has been granted its terms
    And the platform's service fails for the coordination driver
    And the primary of the coordination driver fails
    Then the coordination driver reports a new primary

  Scenario: coordination driver: a host that stops releases its duties
    Given a coordination driver of a database with three members
    When the coordination driver has been granted its terms
    And the coordination driver stops
    Then the platform's service holds no lease of the coordination driver

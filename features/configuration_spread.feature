Feature: Dissemination of the documents to every host

  Scenario Outline: The expected outcomes of a trace occur
    When the configuration trace "<trace>" is replayed
    Then every expected outcome of the configuration trace occurs

    Examples:
      | trace                 |
      | change                |
      | watchers-die          |
      | service-out           |
      | start-in-outage       |
      | zone-cut-from-service |
      | old-offers            |
      | one-host-offered      |

  Scenario: A store that accepts any revision is detected
    Given a configuration store that accepts any revision
    When the configuration trace "old-offers" is replayed
    Then an expected outcome of the configuration trace does not occur

  Scenario: No order of offered documents lowers the revision
    Then configurations offered in any order never lower the revision

  Scenario Outline: The rate of calls to the service does not grow with the size of a zone
    Given a configuration fleet of 3 zones with <hosts> hosts each
    When the configuration fleet runs for 60 s without a change
    Then each zone calls the platform's service at most 0.5 times a second

    Examples:
      | hosts |
      | 3     |
      | 8     |
      | 32    |

  Scenario: A change causes few calls to the service per zone
    Given a configuration fleet of 3 zones with 8 hosts each
    When the configuration changes 5 times
    Then each change causes at most 4 calls to the platform's service per zone

  Scenario: Hosts that fail during a change do not delay the other hosts
    Given a configuration fleet of 3 zones with 32 hosts each
    When the configuration changes while 5 hosts of each zone fail
    Then the configuration is in force on every live host within 2 s

  Scenario: A silent watch is covered by polling and replaced
    Given a configuration fleet of 1 zones with 8 hosts each
    And the configuration watches have become silent
    When the configuration is written
    Then the configuration is in force on every live host within 16 s
    And a configuration watch is active again within 60 s

  Scenario: A change waits for the next poll since the reads after its report are lost
    Given a configuration fleet of 3 zones with 8 hosts each
    When the configuration fleet runs for 6 s without a change
    And the configuration is written as the service becomes silent for 11 s
    Then the configuration is in force on every live host within 5 s

  Scenario: Any two faults during changes
    Then under any 2 faults the configuration never returns to an older revision and reaches every host

  Scenario: Any three faults during changes
    Then under any 3 faults the configuration never returns to an older revision and reaches every host

  Scenario: A store that accepts any revision is detected under faults
    Given a configuration store that accepts any revision
    Then some 2 faults return the configuration to an older revision

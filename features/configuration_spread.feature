Feature: Documents in force on every host

  Scenario Outline: The outcomes stated beside a trace hold
    When the configuration trace "<trace>" is replayed
    Then every outcome stated beside the configuration trace holds

    Examples:
      | trace                 |
      | change                |
      | watchers-die          |
      | service-out           |
      | start-in-outage       |
      | zone-cut-from-service |
      | old-offers            |
      | one-host-offered      |

  Scenario: A holder that takes any revision is noticed
    Given a configuration holder that takes any revision
    When the configuration trace "old-offers" is replayed
    Then an outcome stated beside the configuration trace fails

  Scenario: No order of offers lowers the revision
    Then configuration offers in any order and number never lower the revision

  Scenario Outline: The calls to the service do not grow with the zone
    Given a configuration fleet of 3 zones with <hosts> hosts each
    When the configuration fleet rests for 60 s
    Then each zone calls the platform's service at most 0.5 times a second

    Examples:
      | hosts |
      | 3     |
      | 8     |
      | 32    |

  Scenario: A change costs the service a few calls a zone
    Given a configuration fleet of 3 zones with 8 hosts each
    When the configuration changes 5 times
    Then each change costs each zone at most 4 calls to the platform's service

  Scenario: Hosts that die amid a change hold nobody up
    Given a configuration fleet of 3 zones with 32 hosts each
    When the configuration changes while 5 hosts of each zone die
    Then the configuration is in force on every live host within 2 s

  Scenario: A watch that has fallen silent holds nobody up
    Given a configuration fleet of 1 zones with 8 hosts each
    And the configuration watches have fallen silent
    When the configuration is written
    Then the configuration is in force on every live host within 16 s
    And a configuration watch is in force again within 60 s

  Scenario: Any two faults amid changes
    Then amid any 2 faults the configuration never goes back and reaches every host

  Scenario: Any three faults amid changes
    Then amid any 3 faults the configuration never goes back and reaches every host

  Scenario: A holder that takes any revision is noticed amid faults
    Given a configuration holder that takes any revision
    Then some 2 faults let the configuration go back

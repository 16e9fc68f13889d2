Feature: Configurations from other hosts
  The service may be refused, silent or cut off for some hosts, or come back
  from an older copy, while operators remove a key. All times are virtual.

  Scenario Outline: a key is refused within 5 s on hosts that lose the service when it is removed
    Given 3 zones with <hosts> hosts each, all with version 4
    And <lost> lose the service and notice it after <noticed> s
    When the service tells the others of version 5, which removes a key
    Then every host refuses the key within 5 s

    Examples:
      | hosts | lost                | noticed |
      | 10    | one host            | 0.0     |
      | 10    | one host            | 3.0     |
      | 10    | one zone            | 3.0     |
      | 29    | all hosts but three | 3.0     |

  Scenario: a host to which the service is silent without a sign learns of a removed key from probes
    Given 3 zones with 10 hosts each, all with version 4
    And one host lose the service and notice it after 60.0 s
    When the service tells the others of version 5, which removes a key
    Then every host refuses the key within 5 s

  Scenario: a host that never asks others keeps a removed key
    Given 3 zones with 10 hosts each, all with version 4
    And one host lose the service and notice it after 3.0 s
    And hosts that never ask
    When the service tells the others of version 5, which removes a key
    Then some host still serves the key after 5 s

  Scenario: hosts that follow the service send nothing, although some hear it later
    Given 3 zones with 10 hosts each, all with version 4
    When the service tells all hosts of version 5 in the course of 0.8 s
    And 60 s pass
    Then no host has asked another one

  Scenario: hosts without customers ask nothing when the service is lost
    Given 3 zones with 10 hosts each, all without customers
    And all hosts but three lose the service and notice it after 3.0 s
    When 60 s pass
    Then no host has asked another one
    And every host has announced version 4

  Scenario Outline: a host without customers misses a configuration that its neighbours have
    Given 3 zones with 10 hosts each, all without customers
    And one host lose the service and notice it after <noticed> s
    When the service tells the others of version 5 without customers
    And 5 s pass
    Then every host has version 5
    And the hosts have asked at most 1 times

    Examples:
      | noticed |
      | 0.0     |
      | 60.0    |

  Scenario: a host that starts without the service gets its configuration from others
    Given 3 zones with 10 hosts each, all with version 4
    When a host starts that does not reach the service
    And 5 s pass
    Then the version of the new host is 4

  Scenario: a zone without any service asks twice a second and host at most
    Given 3 zones with 10 hosts each, all with version 4
    And one zone lose the service and notice it after 0.0 s
    When 60 s pass
    Then the hosts have asked at most 1600 times

  Scenario: the service that shows an older version does not bring back a removed key
    Given 3 zones with 10 hosts each, all with version 4
    And one host lose the service and notice it after 0.0 s
    When the service tells the others of version 5, which removes a key
    And 5 s pass
    And the service comes back with version 4 for all hosts
    Then every host refuses the key within 0 s
    And each host has logged once that it dropped version 4 of the service

  Scenario: a host that starts from an older copy of the service learns the newer version
    Given 3 zones with 10 hosts each, all with version 4
    When the service tells the others of version 5, which removes a key
    And a host starts that gets version 4 from the service
    And 5 s pass
    Then the version of the new host is 5

  Scenario Outline: an answer that is of no use is dropped and logged
    Given 3 zones with 1 hosts each, all with version 4
    When a host asks and is answered version <version> with "<value>"
    Then its version is 4
    And it has logged the dropped version <version>

    Examples:
      | version | value       |
      | 5       | not JSON    |
      | 5       | version 3   |

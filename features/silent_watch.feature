Feature: Watch calls that the platform's service has forgotten

  A call that begins while the service is silent is never answered, also when
  the service is well again. All times are virtual.

  Scenario Outline: a configuration is late since the calls of all hosts are lost, bound <bound> s, <hosts> hosts
    Given <hosts> hosts of 3 zones with a bound of <bound> s that follow the service
    When the service forgets the next calls, and the configuration changes after it
    Then every live host has the configuration within <bound> s

    Examples:
      | hosts | bound |
      | 8     | 3     |
      | 24    | 5     |
      | 30    | 3     |
      | 30    | 5     |

  Scenario Outline: the hold of a watch call does not follow from the bound
    Given platform settings with a bound of <bound>
    Then a watch call is held for <hold> ms

    Examples:
      | bound   | hold |
      | nothing | 3000 |
      | 3000 ms | 1000 |
      | 5000 ms | 3000 |
      | 1500 ms | 500  |
      | 60000 ms | 5000 |

  Scenario: the answer of a relay that hears nothing counts as new
    Given a relay that the service has answered
    When 2 s pass without another answer
    Then its answer to another host is 2000 ms old

  Scenario: a silent service counts as followed
    Given 8 hosts of 3 zones with a bound of 3 s that follow the service
    When the service is silent for 9 s
    Then no host that has lost the service counts it as followed meanwhile

  Scenario: a member whose entry returns while the calls are lost is removed
    Given 8 hosts of 3 zones with a bound of 3 s that follow the service
    When the entry of a member expires, the service forgets the next calls, and the entry returns
    Then no host removes the member

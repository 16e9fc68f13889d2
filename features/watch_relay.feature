Feature: The platform's service is followed by two hosts of each zone

  In a deployment of more than 24 hosts, two hosts of each zone watch the
  service. The others ask them for changes. All runs are in virtual time.

  Scenario: the calls on a calm day grow with the zones
    Given 86 hosts of 3 zones that start together
    When 50 s pass
    Then after 10 s, only 6 hosts have made watches, and at most 90
    And no other call after 10 s was anything but a renewal
    And each host has made at most 12 calls in the first 10 s
    And the hosts of the zones name two relays in the state

  Scenario: a deployment of 24 hosts behaves as without the relay
    Given 24 hosts of 3 zones that start together
    When the service changes, is out for 3 s and returns in a new era
    Then the hosts have made the same calls at the same times without the relay
    And no host has asked another one for changes

  Scenario Outline: a configuration is in force within 5 s, and no change is lost
    Given 30 hosts of 3 zones that follow the service
    When <fault>, and the configuration and members change
    Then every live host has the configuration within 5 s
    When the faults end and 15 s pass
    Then every live host knows what the service lists
    And in each 1 s at most <calls> hosts of a zone have called the service

    Examples:
      | fault                                           | calls |
      | a relay is killed while it passes on a change   | 4     |
      | a relay is frozen                               | 4     |
      | a relay is refused by the service               | 4     |
      | a relay is cut off from the service silently    | 4     |
      | a relay answers 400 ms late                     | 4     |
      | the questions to a relay are lost               | 4     |
      | the answers of a relay are lost                 | 4     |
      | both relays are killed                          | 6     |
      | both relays are frozen                          | 6     |
      | both relays are refused by the service          | 6     |
      | both relays are cut off from the service silently | 6   |
      | four relays are frozen                          | 10    |
      | a zone is refused by the service                | 9     |
      | two hosts do not see the relays                 | 6     |
      | the service drops its history                   | 9     |
      | the service returns in a new era                | 10    |

  Scenario: a zone that is cut off silently follows once its link is back
    Given 30 hosts of 3 zones that follow the service
    When a zone is cut off from the service silently, and the configuration and members change
    And 12 s pass
    And the faults end and 15 s pass
    Then every live host knows what the service lists

  Scenario: after an outage of the service, a zone makes few calls per second
    Given 86 hosts of 3 zones that follow the service
    When the service is out for 12 s
    Then in each second of the outage, a zone has watched or read at most 17 times
    And in each second from 4 s on, a zone has watched or read at most 9 times
    And in the first second after it, a zone has watched or read at most 12 times
    And in each second after that, a zone has watched or read at most 6 times
    And every live host knows what the service lists

  Scenario: the askers of two relays that die together do not call at once
    Given 86 hosts of 3 zones that follow the service
    When both relays are killed, and the configuration and members change
    Then every live host has the configuration within 5 s
    And in each 1 s at most 6 hosts of a zone have called the service

  Scenario: askers whose relays all die at once turn to the service one by one
    Given 86 hosts of 3 zones that follow the service
    When four relays are killed, and the configuration and members change
    Then every live host has the configuration within 5 s
    And in each 0.1 s at most 8 hosts of a zone have called the service

  Scenario Outline: the hosts of a zone do not read again all at once
    Given 86 hosts of 3 zones that follow the service
    When the service <fault>, and the configuration and members change
    Then every live host has the configuration within 5 s
    And in each 1 s at most 22 hosts of a zone have called the service
    When the faults end and 15 s pass
    Then every live host knows what the service lists

    Examples:
      | fault                |
      | drops its history    |
      | returns in a new era |

  Scenario: hosts that had to follow the service themselves return to the relays
    Given 30 hosts of 3 zones that follow the service
    When four relays are frozen, and the configuration and members change
    And 8 s pass
    Then some hosts of the zone follow the service directly
    When the faults end and 25 s pass
    Then only the relays follow the service directly
    And the begin and the end of following through relays are logged

  Scenario: a relay that stops answers the open questions at once
    Given 30 hosts of 3 zones that follow the service
    When a relay stops
    Then it holds no question after 10 ms

  Scenario: the seeds of the hosts decide nothing but times
    Given 30 hosts of 3 zones with seed 7 that follow the service
    When both relays are frozen, and the configuration and members change
    Then every live host has the configuration within 5 s

  Scenario: a history that has dropped changes does not skip them
    Given a history of 2000 changes from revision 100 on
    When 10 more changes are recorded
    Then it does not reach back to revision 109
    And after revision 110 it returns all 2000 changes
    And a change past its position is not returned

  Scenario: the changes of one revision are returned together
    Given a history whose revisions hold two large changes each
    Then an answer never ends within a revision
    And a revision that is too large for a message has expired

  Scenario: a configuration that may hold keys is not passed on unread
    Given a relay that has learnt a configuration that is no JSON and has a key
    Then its answer holds the key "op/config" without the customer's key

  Scenario: hosts over sockets follow the service through relays
    Given an emulated deployment of 27 hosts
    Then 21 hosts eventually name two relays of their zone in the state dump
    When the configuration has only the databases "filings" and "extra"
    Then a caller of "extra" is eventually served at host 25
    And a caller of "extra" is eventually served at host 26

Feature: What the adapter to the platform decodes

  Scenario: any line of a caller is a command or is refused
    Then 500 generated lines of callers are decoded without an error

  Scenario: no request can hide in another
    Then requests with a lone line feed or carriage return are refused

  Scenario: any lines of a member are a reply or a fault of the protocol
    Then 500 generated replies of members are decoded or refused as faults

  Scenario Outline: what a caller gets names what is true
    Then the failure <failure> is told as "<code>"

    Examples:
      | failure             | code    |
      | Overloaded          | BUSY    |
      | NoUpstream          | BUSY    |
      | ReplicaBehind       | BEHIND  |
      | NotPrimary          | READONLY |
      | TransactionLost     | ABORTED |
      | OutcomeUnknown      | UNSURE  |
      | PeerUnreachable     | UNSURE  |
      | UpstreamTimedOut    | TIMEOUT |
      | UpstreamFailed      | FAILED  |
      | UnknownDatabase     | NODB    |
      | WrongMember         | BUSY    |

  Scenario: no failure that may have run is told as a promise
    Then every failure of the catalogue is told by its run state

  Scenario: the settings of the platform are decoded
    Given the platform's settings
    Then the host is "front-a-1" of zone "a" with peers on port 7440
    And metrics are served on port 9464 at "/metrics"

  Scenario Outline: a setting that is missing or wrong is named
    Given the platform's settings with <change>
    Then the settings are refused with "<text>"

    Examples:
      | change                            | text                              |
      | node_name missing                 | node_name is missing              |
      | platform.address=10.0.0.1         | platform.address is not           |
      | listen_addrs.front=10.0.0.1:x     | listen_addrs.front is not         |
      | bounds.grace_s=soon               | bounds.grace_s is not a number    |
      | bounds.grace_s=-1                 | bounds.grace_s is not between     |
      | port_range missing                | port_range is not                 |
      | ip missing                        | ip is missing                     |

  Scenario Outline: an entry with a missing or wrong field names no member
    Given a member's entry with <change>
    Then the entry is refused

    Examples:
      | change               |
      | service missing      |
      | state "resting"      |
      | db_role "leader"     |
      | address 7            |
      | address "10.0.0.1"   |
      | sequence "4"         |
      | born 1.5             |
      | zone ""              |

  Scenario: a whole entry names a member
    Given a member's entry with nothing
    Then the entry names a replica of zone "a"

Feature: Decoding of the platform's line protocol, settings and entries

  Scenario: any line of a caller is parsed or rejected as invalid
    Then 500 generated caller lines are parsed without an exception

  Scenario: a line break inside a request cannot inject another request
    Then requests with a lone line feed or carriage return are rejected

  # Guards against a shape with blanks that ran another caller's statement.
  Scenario: a prepared shape with blanks does not run as another shape
    Then prepared shapes reach the member under one name each, unchanged:
      | shape                  |
      | q2c                    |
      | q2c READ k9            |
      | w7e WRITE k9           |
      | all orders of an owner |
      | q2c%20READ%20k9        |
      | q2c  k9                |
    And 500 generated shapes reach the member under one name each, unchanged

  # Guards against the arguments of EXEC that ran as a statement of their own.
  Scenario Outline: a statement with an empty field is not sent to a member
    Then the statement "<text>" is rejected as invalid

    Examples:
      | text                   |
      | EXEC  WRITE a b        |
      | EXEC s1                |
      | EXEC                   |
      | SET  x                 |
      | PREPARE  READ q2c      |
      | PREPARE s1 READ        |

  # Guards against text that changes the fields which follow it on a line.
  Scenario: a call whose text is not one field of a line is not written
    Then no line is written for a name with a blank, a line break or no text
    And a call that cannot be written reaches no member and has not run

  Scenario: any reply of a member is parsed or rejected as a protocol error
    Then 500 generated member replies are parsed or rejected as protocol errors

  Scenario Outline: each failure is reported to the caller with its code
    Then the failure <failure> is formatted with the code "<code>"

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
      | NotAuthenticated    | NOAUTH  |
      | WrongMember         | BUSY    |

  Scenario: a failure that may have run has no code that rules out an effect
    Then codes that rule out an effect are used only for failures that have not run

  Scenario: platform settings are decoded
    Given valid platform settings
    Then the settings name host "front-a-1" in zone "a" with peer port 7440
    And metrics are served on port 9464 at "/metrics"

  Scenario Outline: a missing or invalid setting is named in the error
    Given platform settings with the change: <change>
    Then the platform settings are rejected with "<text>"

    Examples:
      | change                            | text                              |
      | node_name missing                 | node_name is missing              |
      | platform.address=10.0.0.1         | platform.address is not           |
      | listen_addrs.front=10.0.0.1:x     | listen_addrs.front is not         |
      | bounds.grace_s=soon               | bounds.grace_s is not a number    |
      | bounds.grace_s=-1                 | bounds.grace_s is not between     |
      | bounds.config_apply_ms=soon       | bounds.config_apply_ms is not a number |
      | bounds.config_apply_ms=-1         | bounds.config_apply_ms is not a number of at least 0 |
      | bounds.config_apply_ms=0          | bounds.config_apply_ms is not a positive number |
      | port_range missing                | port_range is not                 |
      | ip missing                        | ip is missing                     |

  Scenario Outline: a member entry with a missing or invalid field is rejected
    Given a member entry with the change: <change>
    Then the member entry is rejected

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

  Scenario: a valid member entry is decoded
    Given a member entry with the change: nothing
    Then the member entry describes a replica in zone "a"

Feature: Members that count for the completeness of a group's logs

  Scenario Outline: a log is complete if no other member can have more commits
    Given a roster of <roster> with the floor <floor>
    And members that are listed: <listed>
    When the logs <logs> are judged with 1 synchronous replica
    Then the logs are <verdict> and "<missed>" are missed

    Examples:
      | roster  | floor | listed  | logs          | verdict    | missed |
      | a b c   | -     | a b c   | b=1.9 c=1.8   | complete   | a      |
      | a b c   | -     | a b c   | b=1.9         | incomplete | a c    |
      | a b c   | -     | b       | b=1.9         | incomplete | a c    |
      | a b c   | -     | c       | c=1.5         | incomplete | a b    |
      | a b c d | -     | b c     | b=1.9 c=1.8   | incomplete | a d    |
      | a b c   | 1.7   | b c     | b=1.9 c=1.6   | complete   | a      |
      | a b c   | 1.9   | b c     | b=1.8 c=1.6   | incomplete | a      |
      | a b     | 1.9   | b c d   | b=1.9 c=1.9   | incomplete | a d    |
      | a b c   | -     | b c*    | b=1.9 c=-     | incomplete | a c    |
      | a b c   | -     | b c*    | b=1.9 c=1.2   | complete   | a      |
      | a b c   | -     | b c     | b=1.9 c=-     | complete   | a      |

  Scenario Outline: a floor ends where a later term has replaced it
    Given a roster of b c with the floor <floor>
    And a group whose term 2 began at 6
    And members that are listed: b c
    When the logs b=<log> c=1.1 are judged with 1 synchronous replica
    Then the logs are <verdict> and "" are missed

    Examples:
      | floor | log | verdict    |
      | 1.9   | 1.5 | complete   |
      | 1.9   | 1.4 | incomplete |
      | 1.4   | 1.4 | complete   |
      | 2.8   | 2.7 | incomplete |
      | 2.8   | 2.8 | complete   |

  Scenario: asynchronous replicas are not counted
    Given a roster of a b c with the floor 1.9
    And members that are listed: c
    When the logs c=1.1 are judged with 0 synchronous replicas
    Then the logs are complete and "a b" are missed

  Scenario Outline: the member at the address of one that has left stands for it
    Given a roster of a b c with the floor -
    When "b" <ends> and "x" is listed at <address>
    Then the roster has the members <members>

    Examples:
      | ends                         | address       | members |
      | announces its stop and ends  | its address   | a c x   |
      | announces its stop and ends  | another one   | a b c x |
      | announces its stop and stays | its address   | a b c x |
      | ends unannounced             | its address   | a b c x |

  # Guards against a second count that starts with the members that are left.
  Scenario: a host that starts later knows a member that is no longer listed
    Given two hosts with the roster a b c in the service
    When a host that has started since sees "c" listed alone
    Then the new host counts a b c

  Scenario: a write that another host has overtaken is not repeated over it
    Given two hosts with the roster a b c in the service
    When the first host writes that "c" no longer counts
    And the second host sees "d" listed and writes before it knows
    Then the second host's write is refused
    And the second host counts a b d after it has read the service

  # Guards against a store that comes back older and makes hosts forget a member.
  Scenario: an older copy of the service removes no member
    Given two hosts with the roster a b c in the service
    When the service comes back with the roster a b of an earlier time
    Then the first host counts a b c
    And it writes them to the service

  Scenario: a service that comes back without the roster gets it again
    Given two hosts with the roster a b c in the service
    When the service comes back without the roster
    Then the first host counts a b c
    And it writes them to the service

  Scenario Outline: a host learns from a voter's report which members count
    Given two hosts with the roster a b c in the service
    When a voter reports the roster <reported> with version <version>
    Then the first host counts <counted>

    Examples:
      | reported | version | counted |
      | a b c d  | 2       | a b c d |
      | a b d    | 2       | a b d   |
      | a b d    | 1       | a b c d |
      | a b      | 0       | a b c   |

  Scenario Outline: an odd roster in the service is not read
    When a roster "<value>" is read
    Then it is malformed

    Examples:
      | value                                                          |
      | x                                                              |
      | {"members": [], "floor": {"term": 1, "index": 2}}              |
      | {"members": [7], "floor": {"term": 1, "index": 2}, "version": 1} |
      | {"members": [], "floor": {"term": 1, "index": -2}, "version": 1} |
      | {"members": 5, "floor": {"term": 1, "index": 2}, "version": 1} |

  Scenario Outline: a lost member counts until a primary shows what it confirmed
    Given a host that watches the members a b c d with the primary "a" at 1.9
    When the entry of "d" is gone and <situation>
    Then after some checks the service has the roster <roster> with <floor>

    Examples:
      | situation                          | roster  | floor |
      | nobody reaches it                  | a b c   | 1.9   |
      | this host reaches it               | a b c d | 1.1   |
      | the other voters reach it          | a b c d | 1.1   |
      | the primary does not answer        | a b c d | 1.1   |
      | the primary leads no more          | a b c d | 1.1   |
      | no replica has received that much  | a b c d | 1.1   |

  Scenario: a member that was started again keeps its place with a new floor
    Given a host that watches the members a b c d with the primary "a" at 1.9
    When "d" is started again
    Then after some checks the service has the roster a b c d with 1.9
    And the host has nothing left to write

  Scenario: the first roster waits for the position of a primary
    Given a host that watches the members a b c d without a primary
    Then after some checks the service has no roster
    When the primary "a" is back at 1.9
    Then after some checks the service has the roster a b c d with 1.9

  # Guards against a wait for the grace period of a member that is settled.
  Scenario Outline: a majority of the members that count may fail over
    Given a host that has lost the primary "a" of the members a b c d
    And the service has the roster <roster>, and the entries of a and d are gone
    When the logs b=1.9 c=1.9 answer a failover of a group with <sync> synchronous replicas
    Then <orders> promotion is ordered

    Examples:
      | roster  | sync | orders |
      | a b c   | 1    | 1      |
      | a b c d | 1    | 0      |
      | a b c   | 0    | 0      |

  Scenario: many checks write once
    Given a host that watches the members a b c d with the primary "a" at 1.9
    When the entry of "d" is gone and nobody reaches it
    And 40 checks are made
    Then the host has written 1 time

  Scenario: a group without synchronous replicas costs no call
    Given a host that watches the members a b c d with the primary "a" at 1.9
    And the group has no synchronous replicas
    When the entry of "d" is gone and nobody reaches it
    And 40 checks are made
    Then the host has written 0 times

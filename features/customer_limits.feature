Feature: Limits of customers
  85 customers of very different sizes spread their operations over 86 hosts.
  In no window of 5 s may more operations be admitted than the bound, whatever
  happens to hosts and links. All times are virtual.

  Scenario: nothing is refused on a calm day
    Given 86 hosts with 85 customers
    When 60 s pass
    Then no operation is refused

  Scenario: a customer at 6 times its limit costs the others nothing
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And 20 s pass
    Then the operations of each customer are within the bound
    And only customer 0 is refused operations
    And customer 0 gets at least 0.95 of its rate in the last 10 s

  Scenario Outline: an owner or a link that fails never breaks the bound
    Given 86 hosts with 85 customers
    When customer <customer> sends 6 times its limit
    And 0.5 s pass
    And <event>
    And 10 s pass
    Then the operations of each customer are within the bound
    And customer <customer> gets at least <rate> of its rate in the last 5 s

    Examples:
      | customer | event                                  | rate |
      | 0        | the owner of customer 0 dies           | 0.9  |
      | 60       | the owner of customer 60 dies          | 0.7  |
      | 0        | the owner of customer 0 is cut off     | 0.9  |
      | 60       | the owner of customer 60 is cut off    | 0.7  |
      | 0        | a zone is cut off                      | 0.9  |
      | 60       | a zone is cut off                      | 0.6  |

  Scenario: customers within their limits are served soon after a loss of all power
    Load pattern: all hosts start at once, and find each other within 1 s.
    Guards against owners that change with each host that is found, and against
    the small share of a host that takes itself for the only one.

    Given 86 hosts with 85 customers
    When 20 s pass
    And all hosts lose power for 1 s
    And 5 s pass
    Then less than half as much is refused as without the assumption
    And the operations of each customer are within the bound

  Scenario: a loss of all power under overload stays within the bound
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And customer 60 sends 6 times its limit
    And 5 s pass
    And all hosts lose power for 0.5 s
    And 10 s pass
    Then the operations of each customer are within the bound

  Scenario Outline: both sides of a partition count
    Given 86 hosts with 85 customers
    When customer <customer> sends 6 times its limit
    And a zone is cut off
    And 40 s pass
    And the leases of the zone expire
    And 10 s pass
    And the zone is reached again
    And 10 s pass
    Then the operations of each customer are within the bound

    Examples:
      | customer |
      | 0        |
      | 60       |

  Scenario: faults in a random order never break the bound
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And customer 3 sends 6 times its limit
    And customer 60 sends 6 times its limit
    And owners and zones fail and return 10 times, by seed 5
    Then the operations of each customer are within the bound

  Scenario: the shares hold after the leases of a hidden zone have expired
    Given 86 hosts with 85 customers
    When a zone is cut off
    And 40 s pass
    And the leases of the zone expire
    And 5 s pass
    And customer 0 sends 6 times its limit
    And 10 s pass
    Then the operations of each customer are within the bound

  Scenario Outline: without a part of the decision a failure breaks the bound
    Given 86 hosts with 85 customers, without <part>
    When a zone is cut off
    And 40 s pass
    And the leases of the zone expire
    And 5 s pass
    And customer 0 sends 6 times its limit
    And 10 s pass
    Then the operations of customer 0 exceed the bound

    Examples:
      | part                       |
      | shares of a partition      |
      | the memory of hidden hosts |

  Scenario: an owner that starts with a full bucket breaks the bound
    Given 86 hosts with 85 customers, without the small start of owners
    When customer 0 sends 6 times its limit
    And 0.5 s pass
    And the owner of customer 0 dies
    And 10 s pass
    Then the operations of customer 0 exceed the bound

  Scenario: lone hosts that hold an operation each break the bound
    Given 86 hosts with 85 customers, without parts of lone hosts
    When customer 60 sends 6 times its limit
    And the owner of customer 60 is silent
    And 10 s pass
    Then the operations of customer 60 exceed the bound

  Scenario: a load that moves between hosts is not refused
    Given 86 hosts with 85 customers
    When all callers connect to 3 of the hosts
    And 20 s pass
    And all callers connect to other 3 of the hosts
    And 20 s pass
    Then no operation is refused

  Scenario: a lowered limit is enforced within one window
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And 10 s pass
    And the limit of customer 0 is multiplied by 0.2
    And 5 s pass
    And the operations until now are forgotten
    And 10 s pass
    Then the operations of each customer are within the bound

  Scenario: a raised limit is used at once
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And 10 s pass
    And the limit of customer 0 is multiplied by 2
    And 5 s pass
    Then customer 0 gets at least 0.95 of its rate in the last 4 s
    And the operations of each customer are within the bound

  Scenario: a limit that is lowered and raised gives no operation twice
    Given 86 hosts with 85 customers
    When customer 0 sends 6 times its limit
    And 1 s pass
    And the limit of customer 0 is multiplied by 0.2
    And the limit of customer 0 is multiplied by 5
    And 5 s pass
    Then the operations of each customer are within the bound

  Scenario: an owner that does not answer costs one wait
    Given a host that asks a silent owner
    When it admits 2 operations one after the other
    Then the owner was asked before the first one only
    When the owner answers again and is asked in the background
    And it admits 1 operation
    Then the owner has counted 1 operation

  Scenario: operations that wait are asked for together, and what has not run is returned
    Given a host that asks an owner that answers
    When it admits 5 operations at once
    Then the owner was asked at most 2 times
    When 2 operations have not run
    And it admits 1 operation
    Then 2 operations were returned to the owner

  Scenario: without customers nothing is asked
    Given a host that asks an owner that answers
    When the deployment has no customers
    And it admits 2 operations one after the other
    Then the owner was asked 0 times

  Scenario: a transaction is counted once, at its first statement
    Given a session of a customer with a limit of 2 operations
    When the session runs "BEGIN, statement, statement, COMMIT, statement"
    Then the session's next "statement" is refused for the limit
    And no member gets the refused statement

  Scenario: a refused transaction has to be rolled back
    Given a session of a customer with a limit of 0 operations
    When the session runs "BEGIN"
    Then the session's next "statement" is refused for the limit
    And the session's transaction has failed

  Scenario Outline: the bound of a window is read from the settings
    Given settings with the limits "<settings>"
    Then the settings bound a window of <window> s by <over> and <slack>

    Examples:
      | settings                                        | window | over | slack |
      |                                                 | 5      | 0.1  | 20    |
      | bounds.quota_window_s=2 bounds.quota_over=0     | 2      | 0    | 20    |
      | bounds.quota_slack=0                            | 5      | 0.1  | 0     |

  Scenario Outline: a bound that makes no sense is a fault of the settings
    Given settings with the limits "<settings>"
    Then the settings are refused

    Examples:
      | settings                |
      | bounds.quota_window_s=0 |
      | bounds.quota_over=-1    |
      | bounds.quota_slack=nan  |

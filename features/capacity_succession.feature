Feature: The order of succession at the size that is aimed at

  Scenario: Hosts of other regions leave the order as it is
    Given the capacity lists of 260 hosts and 200 databases
    Then the shards of "region-0" have the same order without other regions

  Scenario: A region of two zones takes a third successor from elsewhere
    Given the capacity lists of 260 hosts and 200 databases
    Then each shard of "region-6" has a successor of another region

  Scenario: The coordinator's view is made anew only at a change
    Given a capacity observer of 10 hosts
    When the capacity observer looks twice
    Then it gives the same capacity view
    When a host of the capacity observer dies
    Then it gives a capacity view of 9 hosts

Feature: Order of succession at the target size

  Scenario: Hosts of other regions do not change the order
    Given the capacity lists of 260 hosts and 200 databases
    Then the shards of "region-0" have the same order without other regions

  Scenario: A region of two zones has a third successor in another region
    Given the capacity lists of 260 hosts and 200 databases
    Then each shard of "region-6" has a successor in another region

  Scenario: The coordinator's view is rebuilt only after a change
    Given a capacity observer of 10 hosts
    When the capacity observer is queried twice
    Then it returns the same capacity view
    When a host of the capacity observer fails
    Then it returns a capacity view of 9 hosts

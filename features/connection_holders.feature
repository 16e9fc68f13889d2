Feature: Holders of connections by capacity and by customer

  Load pattern: hosts differ in capacity by up to a factor of four, and a
  deployment has 85 customers. A connection to a member belongs to one
  customer, and a new one occupies a slot of the member.

  Scenario: hosts of equal capacity have the order of hosts without capacities
    Given 40 hosts of which none is larger
    Then 500 keys rank the hosts in the same order with and without weights

  Scenario: a host owns keys in proportion to its capacity
    Given 40 hosts of which 4 have 4.2 times the capacity
    Then each larger host owns 3.4 to 5.0 times the keys of a smaller one

  Scenario: the loss of a host moves only its own keys, with weights as well
    Given 40 hosts of which 4 have 4.2 times the capacity
    Then without the largest owner no other host loses a key

  Scenario: hosts of more capacity hold connections more often
    Given 86 hosts of which 6 have 4.2 times the capacity
    Then a larger host holds connections of at least twice as many groups

  Scenario: a partition does not make each host open connections of its own
    Guards against a large deployment of which one side sees 24 hosts or fewer:
    all hosts of that side opened connections at once.

    Given a host of 29 that sees 19 live ones
    Then it counts the capacities of 29 hosts
    And few hosts hold the connections of a member

  Scenario: all hosts send the work of a customer to the same holder first
    Given 86 hosts of which 6 have 4.2 times the capacity
    Then 85 customers have the same first holder at every host
    And every holder is the first of some customer

  Scenario: the work of a customer of a lost holder moves to the next in rank
    Given 86 hosts of which 6 have 4.2 times the capacity
    When the first holder of a customer is lost
    Then the second holder in rank is the first one of that customer

  Scenario: work without a customer is spread as in an even deployment
    Given 86 hosts of which 6 have 4.2 times the capacity
    Then work without a customer ranks the holders by member and host

  Scenario Outline: entries of older and newer hosts are read by both
    Given the entry of a host with the capacity field <field>
    Then the capacity of the host is <capacity>

    Examples:
      | field  | capacity |
      | absent | 1        |
      | 0.516  | 0.516    |

  Scenario Outline: an entry whose capacity makes no sense is not used
    Given the entry of a host with the capacity field <field>
    Then the entry can't be read

    Examples:
      | field |
      | 0     |
      | -1    |
      | NaN   |

  Scenario: a host publishes its capacity in an entry that older hosts read
    Given a host of capacity 2.15
    Then its entry has that capacity beside the fields of older hosts

  Scenario: hosts tell each other their capacities while the service is out
    Given a host of capacity 2.15
    Then a host that reads its record from another host knows the capacity
    And a record of an older host counts as capacity 1

  Scenario Outline: capacity is the fraction of a core times its speed
    Given settings with the limits "<limits>"
    Then the settings give a capacity of <capacity>

    Examples:
      | limits                                | capacity |
      |                                       | 1        |
      | limits.cpu_share=0.5                  | 0.5      |
      | limits.cpu_share=0.5 limits.cores=4.3 | 2.15     |

  Scenario Outline: limits that make no sense are a fault of the settings
    Given settings with the limits "<limits>"
    Then the settings are refused

    Examples:
      | limits               |
      | limits.cpu_share=0   |
      | limits.cores=-1      |
      | limits.cpu_share=nan |
      | limits.cores=fast    |

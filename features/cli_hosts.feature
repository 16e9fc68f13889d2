Feature: Hosts and statements from the command line

  Background:
    Given a command line with 2 entry hosts

  Scenario: the state of every host is shown
    When the command "state --json" is run
    Then the command exits with 0
    And the command's JSON has "host-1" at "host-1.state.host"
    And the command's JSON has "host-2" at "host-2.state.host"

  Scenario: the state of the other hosts is shown when one can't be reached
    Given the entry host "host-2" is down for the command line
    When the command "state --json" is run
    Then the command exits with 1
    And the command's JSON has "host-1" at "host-1.state.host"
    And the command's JSON has "peer-unreachable" at "host-2.failure.code"

  Scenario: a wrong operator secret is refused
    Given the entry host "host-1" refuses the next "GetState" with "not-authenticated" for the command line
    When the command "state host-1" is run
    Then the command exits with 1
    And the command's output has "host-1: not-authenticated"

  Scenario: a statement is run and its session token is stored
    When the command "exec --class filing --session {session} --json insert" is run
    Then the command exits with 0
    And the command's JSON has 1 at "rows.0.0"
    When the command "exec --class lookup --session {session} select" is run
    Then the command exits with 0
    And the second statement carried the session token of the first

  Scenario: the rows of a statement are printed
    When the command "exec --class filing insert" is run
    Then the command's output has the lines "n, 1, (1 rows; ledger/0/a; 0 ms old)"

  Scenario: a refused statement shows its code and its request id
    Given every entry host refuses the next "Execute" with "overloaded" for the command line
    When the command "exec --class filing --request-id order-7 --json insert" is run
    Then the command exits with 1
    And the command's JSON has "overloaded" at "failure.code"
    And the command's JSON has "not-run" at "failure.run_state"
    And the command's JSON has "order-7" at "failure.request_id"

  Scenario Outline: incorrect usage exits with 2
    When the command "<arguments>" is run
    Then the command exits with 2

    Examples:
      | arguments                                        |
      | state ghost                                      |
      | exec insert                                      |
      | exec --class filing --parameters {} insert       |
      | exec --class filing --session /no/such/file insert |
      | check no-such-file.json                          |
      | show                                             |

  Scenario Outline: invalid settings exit with 2
    Given the settings file of the command line contains <text>
    When the command "state" is run
    Then the command exits with 2
    And the command's output has "<fault>"

    Examples:
      | text                | fault   |
      | {"plattform": 1}    | plattform |
      | {"hosts": [{}]}     | $.hosts |
      | []                  | settings |
      | {                   | settings |
      | {}                  | $.hosts is required |
      | {"hosts": [{"name": "h", "endpoint": {"address": "::1", "port": 1}}], "tls": {"authorities": "no-such.pem"}} | $.tls |

  Scenario Outline: invalid settings of a host process are refused
    When the settings file of a host process contains <text>
    Then the settings are refused with "<fault>"

    Examples:
      | text             | fault             |
      | []               | not a JSON object |
      | {                | Expecting         |
      | {"hosst": 1}     | $.host            |

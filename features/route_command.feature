Feature: Where a host would send a request now, and why

  Background:
    Given a host of zone "a" with the members "p a, r a, s b"

  # Each choice once.

  Scenario Outline: the member of a request and the reason of the choice
    When the route of a "<database>" <work> is explained
    Then the request is "sent" to "<member>" for "<reasons>"
    And the host does the same with the request

    Examples:
      | database | work                       | member | reasons              |
      | orders   | read                       | r      | replica-by-floor     |
      | orders   | read-only transaction      | r      | replica-by-floor     |
      | orders   | write                      | p      | primary-for-write    |
      | lookups  | transaction that may write | p      | primary-for-write    |
      | filings  | read                       | p      | primary-by-freshness |

  Scenario: the primary serves a read if this host knows no recent position
    Given the positions of the primary are 4 s old
    When the route of a "orders" read is explained
    Then the request is "sent" to "p" for "primary-without-evidence"
    And the host does the same with the request

  Scenario: a primary of a lower cost serves a read of a route with an age
    Given "r" and "s" answer in 900 ms
    When the route of a "orders" read is explained
    Then the request is "sent" to "p" for "primary-by-cost"
    And the host does the same with the request

  Scenario: a replica is avoided for lag, and the other one is in another zone
    Given "r" lacked a floor of 900 ms just now
    And "s" holds the position 1.20
    When the route of a "orders" read of a session that wrote 1.20 is explained
    Then the request is "sent" to "s" for "replica-by-floor replica-avoided-for-lag other-zone"
    And "r" is not eligible because it is "lagging"
    And the host does the same with the request

  Scenario: a paced member is passed over
    Given "r" has recovered just now
    When the route of a "orders" read is explained
    Then the request is "sent" to "s" for "replica-by-floor paced-member-passed-over other-zone"
    And the host does the same with the request

  Scenario: replicas serve while the primary is lost
    Given "p" has not answered for 500 ms
    When the route of a "orders" read is explained
    Then the request is "sent" to "r" for "replica-by-floor primary-lost"
    And "p" is not eligible because it is "primary-lost"
    And the host does the same with the request

  Scenario: a member whose queue is too long is passed over
    Given the queue for "r" is full
    When the route of a "orders" read is explained
    Then the request is "sent" to "s" for "replica-by-floor full-member-passed-over other-zone"
    And "r" is not eligible because it is "refused"
    And the host does the same with the request

  # Each reason for which a member is not eligible once; four are above.

  Scenario: a member that does not answer is not eligible
    Given "r" has not answered for 20 ms
    When the route of a "orders" read is explained
    Then "r" is not eligible because it is "failing"
    And the host does the same with the request

  Scenario: a replica that is about to stop is not eligible
    Given "r" is about to stop
    When the route of a "orders" read is explained
    Then "r" is not eligible because it is "leaving"
    And the host does the same with the request

  Scenario: a replica can't serve a write
    When the route of a "orders" write is explained
    Then "r" is not eligible because it is "not-primary"
    And the host does the same with the request

  # Paths to members, and waits.

  Scenario: an idle connection is used before a new one is opened
    Given this host has an idle connection to "r"
    When the route of a "orders" read is explained
    Then the path is "idle-connection"
    And the host does the same with the request

  Scenario: a request waits for a connection
    Given all statements that "r" may have in flight are in flight
    When the route of a "orders" read is explained
    Then the request is "queued" to "r" for "replica-by-floor"
    And the answer tells the expected wait
    And the host does the same with the request

  Scenario: a write waits for the primary that is expected in time
    Given "p" has not answered for 500 ms
    When the route of a "orders" write is explained
    Then the request waits for a primary
    And the host does the same with the request

  Scenario: the holders of the member are listed in order
    Given a deployment of 30 hosts
    And the deployment has the customers "weavers"
    When the route of a "orders" read of "weavers" is explained
    Then the path is "holders"
    And no holder is passed over
    And the host does the same with the request

  Scenario: a holder that did not answer is passed over
    Given a deployment of 30 hosts
    And the deployment has the customers "weavers"
    And the first holder of "weavers" did not answer
    When the route of a "orders" read of "weavers" is explained
    Then the path is "holders"
    And the holder that did not answer is passed over
    And the host does the same with the request

  Scenario: a holder that does not reach the member is passed over
    Given a deployment of 30 hosts
    And the deployment has the customers "weavers"
    And the first holder of "weavers" does not reach "r"
    When the route of a "orders" read of "weavers" is explained
    Then the path is "holders"
    And the holder that does not reach the member is passed over
    And the host does the same with the request

  Scenario Outline: a host that does not reach a member uses other holders
    Given a deployment of 30 hosts, 3 of them in zone "a"
    And the deployment has the customers "weavers"
    And this host, a holder, does not reach "r"
    When the route of a "<database>" <work> is explained
    Then the path is "holders"
    And the answer tells that this host does not reach "r"
    And the host does the same with the request

    Examples:
      | database | work              |
      | orders   | read of "weavers" |
      | notices  | read              |

  # Guards against a copy that closes, wakes or reports through the original.

  Scenario: a copied access changes nothing at the host
    Given a deployment of 30 hosts, 3 of them in zone "a"
    And this host has an idle connection to "r"
    And the queue for "r" is full
    Then the use of a copied access to "r" changes nothing at the host

  # Each refusal once.

  Scenario: a host without a configuration refuses every request
    Given a host without a configuration
    When the route of a "orders" read is explained
    Then the request is refused for "configuration-not-loaded" with "no-upstream"

  Scenario: an unknown database is refused, and its name is not repeated
    When the route of a "secret-key" read is explained
    Then the request is refused for "unknown-database" with "unknown-database"
    And the answer does not contain "secret-key"
    And the host does the same with the request

  Scenario: a missing customer is refused
    Given the deployment has the customers "weavers"
    When the route of a "orders" read is explained
    Then the request is refused for "customer-missing" with "not-authenticated"
    And the host does the same with the request

  Scenario: an unknown customer is refused, and its name is not repeated
    Given the deployment has the customers "weavers"
    When the route of a "orders" read of "key-of-weavers" is explained
    Then the request is refused for "customer-unknown" with "not-authenticated"
    And the answer does not contain "key-of-weavers"
    And the host does the same with the request

  Scenario: a public route needs no customer
    Given the deployment has the customers "weavers"
    When the route of a "notices" read is explained
    Then the request is "sent" to "r" for "replica-by-floor"
    And the host does the same with the request

  Scenario: an operation above the limit of its customer is refused
    Given the deployment has the customers "weavers 4"
    And "weavers" has used up its limit
    When the route of a "orders" read of "weavers" is explained
    Then the request is refused for "limit-exceeded" with "limit-exceeded"
    And another attempt may succeed after 250 ms
    And the host does the same with the request

  Scenario: the owner of a limit is not asked
    Given the deployment has the customers "weavers 4"
    And another host owns the limit of "weavers"
    When the route of a "orders" read of "weavers" is explained
    Then the answer tells that the owner would be asked
    And the host does the same with the request

  Scenario: a refusal of the owner stands for a moment
    Given the deployment has the customers "weavers 4"
    And another host owns the limit of "weavers"
    And the owner has refused operations of "weavers" for 30 ms
    When the route of a "orders" read of "weavers" is explained
    Then the request is refused for "limit-exceeded" with "limit-exceeded"
    And another attempt may succeed after 30 ms
    And the host does the same with the request

  Scenario: a write is refused if the new primary is expected too late
    Given "p" has not answered for 500 ms
    And no change of the primary is expected for 2 s
    When the route of a "orders" write is explained
    Then the request is refused for "no-primary" with "no-upstream"
    And another attempt may succeed after 2000 ms
    And the host does the same with the request

  Scenario: a read is refused if every replica is behind and no primary answers
    Given "p" has not answered for 500 ms
    And no change of the primary is expected for 2 s
    And "r" lacked a floor of 900 ms just now
    And "s" lacked a floor of 900 ms just now
    When the route of a "orders" read of a session that wrote 1.20 is explained
    Then the request is refused for "every-replica-behind" with "no-upstream"
    And another attempt may succeed after 250 ms
    And the host does the same with the request

  Scenario: a write is refused if the queue is too long
    Given all statements that "p" may have in flight are in flight
    And "p" answers in 9000 ms
    When the route of a "orders" write is explained
    Then the request is refused for "queue-too-long" with "overloaded"
    And the answer tells the expected wait
    And the host does the same with the request

  Scenario Outline: a host that is about to stop refuses
    Given the host is in the phase "<phase>" of a stop
    When the route of a "orders" <work> is explained
    Then the request is refused for "host-stopping" with "draining"
    And another attempt may succeed after 0 ms
    And the host does the same with the request

    Examples:
      | phase               | work                  |
      | REFUSING            | read                  |
      | ENDING_TRANSACTIONS | read-only transaction |

  # Random states of a host.

  Scenario: the answer agrees with what the host then does
    Then the answers agree with the host in the states of the seeds 1 to 300

  # Queries and the command.

  Scenario Outline: an invalid query is refused and changes nothing
    When the host is asked "<query>"
    Then the answer has the status 400 and the fault "<fault>"

    Examples:
      | query                                     | fault                 |
      |                                           | database is not       |
      | database=                                 | database is not       |
      | database=orders&key=secret-key            | unknown field         |
      | database=orders&database=secret-key       | twice                 |
      | database=orders&write=yes                 | write is not          |
      | database=orders&transaction=2             | transaction is not    |
      | database=orders&floor=1                   | floor is not          |
      | database=orders&floor=1.2.3               | floor is not          |
      | database=orders&floor=-1.2                | floor is not          |
      | database=orders&floor_age_ms=5            | needs a floor         |
      | database=orders&floor=1.2&floor_age_ms=-5 | floor_age_ms is not   |
      | database=orders&floor=1.2&floor_age_ms=nan | floor_age_ms is not  |
      | database=orders&floor=1.2&floor_age_ms=1e9 | floor_age_ms is not  |
      | database=orders&customer=                 | customer is not       |
      | database=%ff%fe                           | UTF-8                 |
      | database=a%00b                            | database is not       |
      | secret-key                                | not a list            |
      | a=1&b=2&c=3&d=4&e=5&f=6&g=7               | not a list            |

  Scenario: a query that is too long is refused
    When the host is asked a query of 100000 characters
    Then the answer has the status 400 and the fault "too long"

  Scenario: only GET is served
    When the host is asked "database=orders" by "POST"
    Then the answer has the status 405

  Scenario: random queries are answered and change nothing
    Then the host answers 2000 random queries of seed 7 with 200 or 400

  Scenario: the command asks a running host
    Given an emulated deployment of 1 hosts
    And host 0 serves its state over HTTP
    When the command "route orders --write --json" asks host 0
    Then the command has printed one document with the verdict "sent"
    And the member in it is the one that runs a write through host 0
    When the command "route orders --write" asks host 0
    Then the command has exited with 0 and printed "sent: ledger-0 (primary-for-write"
    When the command "route nowhere" asks host 0
    Then the command has exited with 0 and printed "refused: unknown-database"
    When the command "route orders --floor 1" asks host 0
    Then the command has exited with 1 and printed "invalid-query"
    When the command "route orders --floor-age-ms 5" asks host 0
    Then the command has exited with 2 and printed "--floor-age-ms needs --floor"
    When host 0 receives bytes that are no HTTP
    And the command "route orders --transaction" asks host 0
    Then the command has exited with 0 and printed "host: host-0"

  Scenario: the command tells that a host can't be reached
    When the command "route orders" asks an address where nothing listens
    Then the command has exited with 1 and printed "peer-unreachable"

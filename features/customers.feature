Feature: Callers are customers by their keys

  Background:
    Given an emulated deployment of 2 hosts
    And the customers "weavers: key-w1 key-w2; dyers: key-d"

  Scenario Outline: a session without a key of a customer is refused
    Then a session of "<database>" with the key "<key>" gets "<greeting>"

    Examples:
      | database | key    | greeting   |
      | orders   | key-w1 | READY      |
      | orders   | key-w2 | READY      |
      | orders   | key-x  | ERR NOAUTH |
      | orders   |        | ERR NOAUTH |
      | nowhere  | key-x  | ERR NODB   |
      | lookups  | key-x  | READY      |
      | lookups  |        | READY      |

  Scenario: an open session of a removed key runs nothing more
    Given a caller of "orders" with the key "key-w1"
    When the caller sends "READ a" and "READ b"
    And the customers are "weavers: key-w2; dyers: key-d"
    Then the caller's "statement" gets "NOAUTH"
      | statement   |
      | READ a      |
      | WRITE a 1   |
      | BEGIN       |
      | SET n v     |
      | EXEC none 1 |
    And no member has received a statement
    And a session of "orders" with the key "key-w1" gets "ERR NOAUTH"
    And a session of "orders" with the key "key-w2" gets "READY"
    And a session of "orders" with the key "key-d" gets "READY"

  Scenario: a key that is added again is served in the same session
    Given a caller of "orders" with the key "key-d"
    When the customers are "weavers: key-w1"
    Then the caller's "READ a" gets "NOAUTH"
    When the customers are "weavers: key-w1; dyers: key-d"
    Then the caller's "READ a" gets "DONE"

  # Guards against a withdrawn key that acts on inside an open transaction
  # (CONFIG).
  Scenario Outline: a transaction is rolled back once its key is withdrawn
    Given a caller of "orders" with the key "key-w1"
    When the caller sends "<begin>" and "<statement>"
    And the customers are "<customers>"
    Then a member has rolled the transaction back
    And the caller's "<next>" gets "NOAUTH"
    And the caller's "<later>" gets "<answer>"
    And the committed data of "a" are "-"

    Examples: a statement, EXEC, COMMIT, a transaction that reads, a moved key, a customer that is gone, the last customer
      | begin      | statement | customers                            | next     | later    | answer |
      | BEGIN      | WRITE a 1 | weavers: key-w2; dyers: key-d        | WRITE b 2 | READ a   | BAD    |
      | BEGIN      | WRITE a 1 | weavers: key-w2; dyers: key-d        | EXEC p 1 | COMMIT   | BAD    |
      | BEGIN      | WRITE a 1 | weavers: key-w2; dyers: key-d        | COMMIT   | READ a   | NOAUTH |
      | BEGIN      | WRITE a 1 | weavers: key-w2; dyers: key-d        | READ a   | ROLLBACK | DONE   |
      | BEGIN READ | READ a    | weavers: key-w2; dyers: key-d        | READ a   | ROLLBACK | DONE   |
      | BEGIN      | WRITE a 1 | weavers: key-w2; dyers: key-d key-w1 | COMMIT   | READ a   | DONE   |
      | BEGIN      | WRITE a 1 | dyers: key-d                         | COMMIT   | READ a   | NOAUTH |

  # Guards against a rollback that a caller never hears of.
  Scenario: a key that is added again does not bring its transaction back
    Given a caller of "orders" with the key "key-w1"
    When the caller sends "BEGIN" and "WRITE a 1"
    And the customers are "dyers: key-d"
    And the customers are "weavers: key-w1; dyers: key-d"
    Then the caller's "COMMIT" gets "NOAUTH"
    And the caller's "READ a" gets "DONE"
    And the committed data of "a" are "-"

  # Guards against transactions that a change of something else cuts.
  Scenario Outline: a transaction goes on while its caller keeps the key
    Given a caller of "orders" with the key "key-w1"
    When the caller sends "BEGIN" and "WRITE a 1"
    And the customers are "<customers>"
    Then the caller's "WRITE b 2" gets "DONE"
    And the caller's "COMMIT" gets "DONE"
    And the committed data of "a" are "1"

    Examples: another customer, other keys of the same one, and a new order
      | customers                            |
      | weavers: key-w1 key-w2               |
      | weavers: key-w1; dyers: key-d        |
      | dyers: key-d; weavers: key-new key-w1 |

  Scenario: sessions of a deployment that gets its first customers are refused without a key
    Given no customers are configured
    And a caller of "orders" with the key "anything"
    When the customers are "dyers: key-d"
    Then the caller's "READ a" gets "NOAUTH"

  Scenario: keys are ignored in a deployment without customers
    Given no customers are configured
    Then a session of "orders" with the key "anything" gets "READY"
    And a session of "orders" with the key "" gets "READY"

  Scenario: a statement runs for the customer that holds the key when it begins
    Given a session with the key "key-w1" whose statements are recorded
    When the session runs a statement
    And the session begins a transaction
    And the session runs a statement
    And the customers are "weavers: key-w2; dyers: key-d key-w1"
    And the session is refused a COMMIT
    And the session runs a statement
    Then the statements ran for "weavers, weavers, dyers"

  Scenario: a statement on a public route runs for no customer
    Given a session of "lookups" with the key "key-w1" whose statements are recorded
    When the session runs a statement
    Then the statements ran for ""

  Scenario: a key appears in nothing that a host shows or sends
    When callers use, lose and guess keys while everything shown is recorded
    Then none of the keys is shown or sent by a host

  Scenario: refused keys are logged seldom and counted each time
    When 30 sessions with an unknown key are refused at one time
    Then one event tells of a refused key and 30 refusals are counted

  Scenario: the state dump shows the customers in force and the entries left out
    When the customers are "weavers: key-w1; dyers: key-w1; menders: key-m"
    Then the state dump shows "weavers, menders" and leaves out "dyers" for "shared-key"
    And one event for each host tells that "dyers" is left out

  Scenario: a host that the service leaves without news gets it from another host
    Given the service is silent to host 1
    When the customers of host 0 are "dyers: key-d"
    Then host 1 eventually refuses the key "key-w1"
    And host 1 tells that its configuration is from "host-0"

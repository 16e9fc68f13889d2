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

  Scenario: a transaction goes on after its key is removed
    Given a caller of "orders" with the key "key-w1"
    When the caller sends "BEGIN" and "WRITE a 1"
    And the customers are "dyers: key-d"
    Then the caller's "WRITE b 2" gets "DONE"
    And the caller's "COMMIT" gets "DONE"
    And the caller's "READ a" gets "NOAUTH"

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
    And the customers are "weavers: key-w2; dyers: key-d key-w1"
    And the session runs a statement
    And the session commits
    And the session runs a statement
    Then the statements ran for "weavers, weavers, weavers, dyers"

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

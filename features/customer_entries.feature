Feature: Decoding of the customers in the operators' configuration

  Scenario: customers, limits and public routes are decoded
    Given a configuration with the customers
      | entry                                                                                     |
      | {"name": "a", "api_keys": ["key-a1", "key-a2"], "priority": 1, "rate_per_s": 141, "burst": 9.5, "new": {}} |
      | {"name": "b", "api_keys": ["key-b"], "rate_per_s": 5}                                     |
    Then the key "key-a1" belongs to "a" with the limit 141 and 9.5
    And the key "key-a2" belongs to "a" with the limit 141 and 9.5
    And the key "key-b" belongs to "b" without a limit
    And the key "key-c" belongs to nobody
    And the key "" belongs to nobody
    And only the route "open" is public

  Scenario: a configuration without a list of customers has no customers
    Given a configuration without the field of the customers
    Then the deployment has no customers

  Scenario Outline: a faulty entry loses no other customer
    Given a configuration with the customers
      | entry                                     |
      | {"name": "a", "api_keys": ["key-a"]}      |
      | <entry>                                   |
      | {"name": "b", "api_keys": ["key-b"]}      |
    Then the key "key-a" belongs to "a" without a limit
    And the key "key-b" belongs to "b" without a limit
    And the key "key-x" belongs to nobody
    And the only fault is "<fault>" of entry 1

    Examples:
      | entry                                                           | fault            |
      | "key-x"                                                         | not-an-object    |
      | {"api_keys": ["key-x"]}                                         | invalid-name     |
      | {"name": "x y", "api_keys": ["key-x"]}                          | invalid-name     |
      | {"name": "key-x", "api_keys": ["key-x"]}                        | invalid-name     |
      | {"name": ["key-x"], "api_keys": ["key-x"]}                      | invalid-name     |
      | {"name": "a", "api_keys": ["key-x"]}                            | duplicate-name   |
      | {"name": "x"}                                                   | no-keys          |
      | {"name": "x", "api_keys": []}                                   | no-keys          |
      | {"name": "x", "api_keys": "key-x"}                              | no-keys          |
      | {"name": "x", "api_keys": ["key-x", ""]}                        | invalid-key      |
      | {"name": "x", "api_keys": ["key-x", 7]}                         | invalid-key      |
      | {"name": "x", "api_keys": ["key-x", "\ud800"]}                  | invalid-key      |
      | {"name": "x", "api_keys": ["key-x", "key-a"]}                   | shared-key       |
      | {"name": "x", "api_keys": ["key-x"], "priority": 1.5}           | invalid-priority |
      | {"name": "x", "api_keys": ["key-x"], "rate_per_s": -1}          | invalid-limit    |
      | {"name": "x", "api_keys": ["key-x"], "burst": NaN}              | invalid-limit    |
      | {"name": "x", "api_keys": ["key-x"], "burst": 1e999}            | invalid-limit    |
      | {"name": "x", "api_keys": ["key-x"], "burst": "5"}              | invalid-limit    |
      | {"name": "x", "api_keys": ["key-x"], "rate_per_s": true}        | invalid-limit    |

  Scenario: customers that are no list do not become a table that refuses everybody
    Then a configuration whose customers are an object is refused

  Scenario: a configuration that is no UTF-8 is refused without showing its keys
    Then the refusal of a configuration that is no UTF-8 shows no key

  Scenario Outline: hosts pass a configuration on without its keys
    Given a configuration with the customers
      | entry                                     |
      | {"name": "a", "api_keys": ["key-a", "k\u00e9y"], "rate_per_s": 3, "burst": 4} |
      | <entry>                                   |
      | {"name": "key-o", "api_keys": ["key-o"]}  |
    Then the configuration that is passed on holds none of the keys "key-a, key-x, key-o"
    When the configuration is passed on twice
    Then the key "key-a" belongs to "a" with the limit 3 and 4
    And the key "kéy" belongs to "a" with the limit 3 and 4
    And the key "key-x" belongs to nobody
    And only the route "open" is public

    Examples:
      | entry                                                         |
      | {"name": "x", "api_keys": ["key-x", "key-a"]}                 |
      | {"name": "x", "api_keys": "key-x"}                            |
      | {"name": "x", "api_keys": ["key-x"], "burst": -1, "note": "key-x"} |
      | "key-x"                                                       |

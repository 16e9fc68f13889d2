Feature: Check of the declarations
  A document is accepted only if it has no fault at all. Every fault is
  reported with its JSON path.

  Scenario Outline: the shipped examples have no fault
    When the declarations file "<file>" is checked
    Then the declarations are accepted
    And the declarations have the classes "<classes>"

    Examples:
      | file                      | classes                                                |
      | examples/karamanlis.json  | filing, search-order, order-status, lookup             |
      | examples/sleevecraft.json | booking, dispatch-update, order-status, catalogue-lookup |

  Scenario: formatted declarations are parsed to the same declarations
    When the declarations file "examples/karamanlis.json" is checked
    Then the formatted declarations are parsed to the same declarations

  Scenario: every fault is reported, not only the first
    Given declarations with the only class "lookup" defined by
      """
      {"work": "read", "freshness": {"age_ms": 0, "weight": 3},
       "promptness": {"within_ms": "250", "share": 1.5, "unit": "ms"},
       "safety": {"copies": 1, "repeatable": "no"}}
      """
    When the declarations are checked
    Then the declarations' faults are
      | path                               | code           |
      | $.classes.lookup.freshness.weight  | derived-key    |
      | $.classes.lookup.freshness.age_ms  | out-of-range   |
      | $.classes.lookup.promptness.unit   | unknown-key    |
      | $.classes.lookup.promptness.within_ms | wrong-type  |
      | $.classes.lookup.promptness.share  | out-of-range   |
      | $.classes.lookup.safety.copies     | not-applicable |
      | $.classes.lookup.safety.copies     | out-of-range   |
      | $.classes.lookup.safety.repeatable | wrong-type     |

  Scenario Outline: one fault in a class is reported with its path
    Given declarations with the only class "filing" defined by
      """
      <class>
      """
    When the declarations are checked
    Then the declarations' only fault is "<code>" at "$.classes.filing<path>"

    Examples:
      | class | code | path |
      | 7 | wrong-type | |
      | {"work": "write"} | missing-key | .promptness |
      | {"work": "erase", "promptness": {"within_ms": 9, "share": 1}} | out-of-range | .work |
      | {"work": "write", "promptness": {"within_ms": 0, "share": 1}} | out-of-range | .promptness.within_ms |
      | {"work": "write", "promptness": {"within_ms": 9.5, "share": 1}} | wrong-type | .promptness.within_ms |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 0}} | out-of-range | .promptness.share |
      | {"work": "write", "promptness": {"within_ms": 9, "share": true}} | wrong-type | .promptness.share |
      | {"work": "write", "promptness": {"within_ms": 9}} | missing-key | .promptness.share |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "safety": {"copies": 1}} | out-of-range | .safety.copies |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "safety": {"copies": 4}} | out-of-range | .safety.copies |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "safety": {"copies": null}} | wrong-type | .safety.copies |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "hosts": []} | derived-key | .hosts |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "Address": ""} | derived-key | .Address |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "color": ""} | unknown-key | .color |
      | {"work": "write", "promptness": {"within_ms": 9, "share": 1}, "freshness": {"age_ms": 5}} | not-applicable | .freshness |
      | {"work": "read", "promptness": {"within_ms": 9, "share": 1}} | missing-key | .freshness |
      | {"work": "read", "promptness": {"within_ms": 9, "share": 1}, "freshness": "age"} | out-of-range | .freshness |
      | {"work": "read", "promptness": {"within_ms": 9, "share": 1}, "freshness": {}} | missing-key | .freshness.age_ms |
      | {"work": "read", "promptness": {"within_ms": 9, "share": 1}, "freshness": null} | wrong-type | .freshness |
      | {"work": "read", "promptness": {"within_ms": 9, "share": 1, "share": 1}, "freshness": "present"} | duplicate-name | .promptness.share |

  Scenario Outline: one fault in another section is reported with its path
    Given declarations with the section "<section>" replaced by
      """
      <value>
      """
    When the declarations are checked
    Then the declarations' only fault is "<code>" at "<path>"

    Examples:
      | section | value | code | path |
      | tenants | {"a": {"ledgers": {"l": ["filing", "search"]}}} | unknown-class | $.tenants.a.ledgers.l[1] |
      | tenants | {"a": {"ledgers": {"l": ["filing", "filing"]}}} | duplicate-name | $.tenants.a.ledgers.l[1] |
      | tenants | {"a": {"ledgers": {"l": ["filing"], "l": []}}} | duplicate-name | $.tenants.a.ledgers.l |
      | tenants | {"a": {"ledgers": {"l": [1]}}} | wrong-type | $.tenants.a.ledgers.l[0] |
      | tenants | {"a": {"ledgers": {"l": "filing"}}} | wrong-type | $.tenants.a.ledgers.l |
      | tenants | {"a": {"ledgers": {}}, "a": {"ledgers": {}}} | duplicate-name | $.tenants.a |
      | tenants | {"a": {}} | missing-key | $.tenants.a.ledgers |
      | tenants | {"A b": {"ledgers": {}}} | invalid-name | $.tenants["A b"] |
      | tenants | [] | wrong-type | $.tenants |
      | tenants | {"a": {"ledgers": {"l/0/a": ["filing"]}}} | invalid-name | $.tenants.a.ledgers["l/0/a"] |
      | tenants | {"a": {"ledgers": {"L": ["filing"]}}} | invalid-name | $.tenants.a.ledgers.L |
      | stops | {"s": {"ledger": "l/0", "zone": "z"}} | invalid-name | $.stops.s.ledger |
      | stops | {"s": {"ledger": "l"}} | missing-key | $.stops.s.zone |
      | stops | {"s": {"ledger": "l", "zone": "z", "member": "l/0/a"}} | derived-key | $.stops.s.member |
      | stops | {"s": {"ledger": "l", "zone": ""}} | invalid-name | $.stops.s.zone |
      | stops | {"s": {"ledger": 4, "zone": "z"}} | wrong-type | $.stops.s.ledger |
      | weights | {} | derived-key | $.weights |
      | version | 2 | unknown-key | $.version |

  Scenario Outline: a text that is not a JSON object is refused
    Given the declarations text <text>
    When the declarations are checked
    Then the declarations' only fault is "<code>" at "$"

    Examples:
      | text         | code           |
      | {"classes":  | malformed-json |
      | {"a": NaN}   | malformed-json |
      | []           | wrong-type     |

  Scenario: a document above the service's size limit is refused
    Given a declarations text of 1000001 bytes
    When the declarations are checked
    Then the declarations' only fault is "too-large" at "$"

  Scenario: a ledger that the platform does not list is reported
    Given the platform lists the ledger "shared-ledger" for declarations
    When the declarations file "examples/karamanlis.json" is checked
    Then the declarations' fault codes are "unknown-ledger"

  Scenario Outline: a right on one database does not apply to another database
    Given declarations with the section "tenants" replaced by
      """
      {"stalls": {"ledgers": {"l/0": ["filing"]}}}
      """
    When the declarations are checked
    Then the tenant "stalls" <outcome> on the database "<database>" of the ledger "l"

    Examples:
      | database | outcome              |
      | l/0      | is granted "filing"  |
      | l/1      | is refused "filing"  |

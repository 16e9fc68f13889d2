Feature: Tenants that share a ledger
  Competing tenants share one ledger. No tenant can reach a database of
  another tenant.

  Scenario: each tenant has a database that no other tenant has
    Given an entry host for tenants with the fault "none"
    Then the tenants of the example have exactly these grants
      | tenant          | ledger          | classes                                               |
      | bulacan-sleeves | shared-ledger/0 | booking dispatch-update order-status catalogue-lookup |
      | cavite-sleeves  | shared-ledger/1 | booking dispatch-update order-status catalogue-lookup |
      | quezon-sleeves  | shared-ledger/2 | booking dispatch-update order-status catalogue-lookup |

  Scenario: a statement of a transaction runs on the tenant's own database whichever it names
    Given an entry host for tenants with the fault "none"
    Then each tenant is answered only on its own database

  Scenario Outline: attempts on other tenants' databases succeed only with a fault
    Given an entry host for tenants with the fault "<fault>"
    When each tenant tries to reach the databases of the other tenants
    Then the attempts without the expected refusal are <kinds>

    Examples:
      | fault                                | kinds                           |
      | none                                 | nothing                         |
      | rights count for the whole ledger    | statement, transaction, look-up |
      | tokens of any tenant are taken       | token                           |
      | transactions of any caller are found | open transaction                |

Feature: Tenants that share a ledger
  The members of the consortium share a ledger and are rivals: none reaches
  a database of another's.

  Scenario: each member has one database, and no other has it
    Given a tenants host with the fault "none"
    Then tenants of the example have these rights alone
      | tenant          | ledger          | classes                                               |
      | bulacan-sleeves | shared-ledger/0 | booking dispatch-update order-status catalogue-lookup |
      | cavite-sleeves  | shared-ledger/1 | booking dispatch-update order-status catalogue-lookup |
      | quezon-sleeves  | shared-ledger/2 | booking dispatch-update order-status catalogue-lookup |

  Scenario: a tenant is served on its own database, whatever a statement in its transaction names
    Given a tenants host with the fault "none"
    Then tenants are answered on their own databases alone

  Scenario Outline: tries at another's database are refused, and a fault lets them through
    Given a tenants host with the fault "<fault>"
    When tenants try to reach the databases of all others
    Then tenants got through by <kinds>

    Examples:
      | fault                                | kinds                           |
      | none                                 | nothing                         |
      | rights count for the whole ledger    | statement, transaction, look-up |
      | tokens of any tenant are taken       | token                           |
      | transactions of any caller are found | open transaction                |

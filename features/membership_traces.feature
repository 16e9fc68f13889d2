Feature: Membership in recorded traces

  Each trace is replayed on a virtual clock. A file of outcomes next to the
  trace states which hosts each host must see as live, and at which time.

  Scenario Outline: The outcomes of a trace hold
    When the membership trace "<trace>" is replayed
    Then every outcome of the membership trace holds

    Examples:
      | trace             |
      | dead-host         |
      | leaving-host      |
      | paused-host       |
      | short-pause       |
      | several-at-once   |
      | all-replaced      |
      | service-out-start |
      | listed-but-dead   |
      | listed-leaving    |
      | lost-zone         |
      | cut-off-zone      |
      | cut-off-host      |
      | one-link-cut      |
      | regions-apart     |
      | frozen-zone       |
      | stuttering-zone   |

  Scenario Outline: The outcomes of a trace detect a broken rule
    Given membership with the fault "<fault>"
    When the membership trace "<trace>" is replayed
    Then an outcome of the membership trace fails

    Examples:
      | fault                | trace        |
      | never refutes        | paused-host  |
      | no ring probes       | dead-host    |
      | no word on leaving   | leaving-host |
      | silence is a verdict | one-link-cut |
      | believes old deaths  | cut-off-host |
      | list before records  | listed-but-dead |
      | pause is evidence    | stuttering-zone |

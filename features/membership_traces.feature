Feature: Membership by recorded traces

  Each trace is replayed on a virtual clock; beside it stands what each
  host must see, and by when.

  Scenario Outline: The outcomes stated beside a trace hold
    When the membership trace "<trace>" is replayed
    Then every outcome stated beside the membership trace holds

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

  Scenario Outline: A fault in a rule of membership is noticed
    Given membership with the fault "<fault>"
    When the membership trace "<trace>" is replayed
    Then an outcome stated beside the membership trace fails

    Examples:
      | fault                | trace        |
      | never refutes        | paused-host  |
      | no ring probes       | dead-host    |
      | no word on leaving   | leaving-host |
      | silence is a verdict | one-link-cut |
      | believes old deaths  | cut-off-host |
      | list before records  | listed-but-dead |
      | pause is evidence    | stuttering-zone |

Feature: Answers to commits while the primary is changed

  # Guards against an acknowledged commit that the promoted member lacks (LOST).
  Scenario Outline: a commit is acknowledged once the log that leads has it
    Given a commit that needs 1 replica, sent before a change
    When the answer comes during a change, after which <leader> leads
    Then the commit is answered with <answer>

    Examples:
      | leader     | answer              |
      | p          | the reply           |
      | q from 121 | the reply           |
      | q from 120 | an unknown outcome  |

  # Guards against an answer that arrives when the change is over.
  Scenario Outline: a commit that was sent before a change is compared after it
    Given a commit that needs 1 replica, sent before a change
    When the answer comes after a change to <leader>
    Then the commit is answered with <answer>

    Examples:
      | leader     | answer             |
      | q from 121 | the reply          |
      | q from 110 | an unknown outcome |

  # Guards against an answer that waits beyond its deadline.
  Scenario: the outcome is unknown where no log leads before the deadline
    Given a commit that needs 1 replica, sent before a change
    When the answer comes during a change that outlasts its deadline
    Then the commit is answered with an unknown outcome

  # Guards against a host that was cut off with the old primary, and does not
  # know that a change is open.
  Scenario Outline: a commit that was held up is compared with the newest claim
    Given a commit that needs <replicas> replica, sent before a change
    When the answer comes after <wait> ms at a host that <host>
    Then the commit is answered with <answer>
    And the claim has been read <reads> times

    Examples:
      | replicas | wait | host                                             | answer             | reads |
      | 1        | 900  | has not heard that another host has claimed      | an unknown outcome | 1     |
      | 1        | 900  | has heard of every change                        | the reply          | 1     |
      | 1        | 900  | is cut off and reads nothing                     | an unknown outcome | 1     |
      | 1        | 900  | reads nothing                                    | the reply          | 1     |
      | 1        | 20   | has not heard that another host has claimed      | the reply          | 0     |
      | 1        | 20   | is cut off, and another host has claimed         | an unknown outcome | 1     |
      | 0        | 900  | has not heard that another host has claimed      | the reply          | 0     |

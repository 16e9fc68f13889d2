Feature: Logs that have left the log of their group

  # Guards against a former primary that is promoted again with commits that
  # its successor never had.
  Scenario: a former primary whose commits its successor lacked is not promoted again
    Given an emulated deployment of 3 hosts
    When all members have 3 commits
    And the primary makes 5 commits that no replica receives, and crashes
    And its successor makes 1 commit that no replica receives, and crashes
    And the former primary comes back with its log
    Then the third member is promoted without the commits of the former primary

  # Guards against reads of a fork while no other log can lead.
  Scenario: a former primary is not promoted again where another log is lost
    Given an emulated deployment of 3 hosts
    When all members have 3 commits
    And the primary makes 5 commits that no replica receives, and crashes
    And its successor makes 1 commit that no replica receives, and crashes
    And the third member starts anew with an empty log
    And the former primary comes back with its log
    Then no member is promoted until the successor comes back and leads again

  # Guards against the comparison of positions alone.
  Scenario Outline: the most advanced log that has not left the group's log is chosen
    Given a group whose primary has led <leads>
    When members report the logs <logs>
    Then the failover chooses "<chosen>"

    Examples:
      | leads           | logs                | chosen |
      | 1.123           | x=1.123 y=1.120     | x      |
      | 2 from 1.123    | x=1.182 y=1.123     | y      |
      | 2 from 1.123    | x=1.124 y=1.120     | y      |
      | 2 from 1.123    | x=1.123 y=2.130     | y      |
      | 2.126           | x=1.126 y=1.123     | y      |
      | 2.126, 2.124    | x=1.124 y=1.120     | y      |
      | 2 from 1.123, 3 from 1.110 | x=2.130 y=1.105 | y |
      | 2 from 1.123, 3 from 1.110 | x=1.120 y=1.110 | y |
      | 2 from 1.123    | x=1.182             | none   |
      | 2 from 1.123    | x=- y=1.182         | none   |
      | 2 from 1.0      | x=- y=1.5           | x      |

  # Guards against a planned change to a fork that is ahead by its number.
  Scenario Outline: a planned change does not choose a former primary's fork
    Given a group whose primary leads term 2 and has received <primary>
    When members report the logs <logs>
    Then the handover chooses "<handover>" and the relief "<relief>"
    And the replicas that have caught up are "<caught up>"

    Examples:
      | primary | logs             | handover | relief | caught up |
      | 1.123   | x=1.182 y=1.123  | y        | y      | y         |
      | 1.123   | x=1.182 y=1.120  | y        | none   |           |
      | 2.130   | x=1.182 y=2.130  | y        | y      | y         |
      | 1.123   | x=2.124 y=1.123  | x        | x      | x y       |

  # Guards against a start before the records that a replica has from the
  # former primary.
  Scenario Outline: the start of a term is as late as the new primary shows
    Given a host that promotes a member which had received 1.123
    When the member leads term 2 and has received <received>
    Then the host knows that term 2 began at <start>

    Examples:
      | received | start |
      | 1.123    | 124   |
      | 1.130    | 131   |
      | 2.124    | 124   |
      | 2.126    | 124   |

  # Guards against a restart that makes a host forget where a term began.
  Scenario: a host that starts later learns from the claim where a term began
    Given two hosts that know round 1 of a group
    When the first host publishes that term 2 began at 124
    Then a host that has started since does not choose a log to 1.182
    And the second host passes the start on with its next claim

  # Guards against a start that is forgotten while the service is unavailable.
  Scenario: a notice of a leader tells where its term began
    Given two hosts that know round 1 of a group
    When the service is unavailable and a notice tells that term 2 began at 124
    Then the second host passes the start on with its next claim

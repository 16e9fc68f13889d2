Feature: New primaries that a later change may pass over

  # Guards against reads at a promoted member that is cut off, without commits
  # that the other zones bring back into force (STALE).
  Scenario Outline: reads in a zone that is cut off miss no commit that stays in force
    Given a deployment whose zone "south" can be cut off, and promotions that take 0.6 s
    When callers write in the zone "north" and read in the zone "south"
    And the primary <is replaced>
    And the zone is cut off <cut_ms> ms after the order to promote its member, for 5 s
    Then every read had the commits acknowledged before it that are in force at the end

    Examples:
      | is replaced         | cut_ms |
      | announces its stop  | 30     |
      | crashes and is back | 30     |

  # Guards against a zone that reads nothing although its member has every commit.
  Scenario: a zone that is cut off after its member has received the whole log reads on
    Given a deployment whose zone "south" can be cut off, and promotions that take 0.6 s
    When callers write in the zone "north" and read in the zone "south"
    And the primary announces its stop
    And the zone is cut off once its member is known to have the whole log, for 5 s
    Then every read had the commits acknowledged before it that are in force at the end
    And the zone has read while it was cut off

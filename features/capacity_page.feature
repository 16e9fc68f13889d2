Feature: The capacity page matches the recorded slopes

  Scenario: The tables of the page match the recorded slopes
    When the capacity page is compared with the recorded slopes
    Then the capacity tables agree

  Scenario: A changed figure on the page is detected
    Given a copy of the capacity page with one figure changed
    When the capacity page is compared with the recorded slopes
    Then the capacity tables differ

  Scenario: A changed slope is detected
    Given a copy of the capacity slopes with one slope doubled
    When the capacity page is compared with the recorded slopes
    Then the capacity tables differ

  Scenario: Every module that the page names exists
    When the modules named on the capacity page are looked up
    Then no capacity module is missing

  Scenario: A module that does not exist is reported
    Given a copy of the capacity page that names "trefoilpulley_core.nowhere"
    When the modules named on the capacity page are looked up
    Then the capacity module "trefoilpulley_core.nowhere" is missing

  Scenario: Each recorded slope fits its own points
    Then each capacity slope has at least 4 points and fits them

  Scenario: Each row states its budget and margin, or that there is none
    Then each capacity row has a mechanism, arithmetic and a margin

  Scenario: A least-squares line goes through exact points
    When a capacity slope is fitted through 1:5, 2:7, 3:9, 4:11
    Then the capacity slope is 2 with the base 3 and no spread

  Scenario: Three points are too few for a slope
    When a capacity slope is fitted through 1:5, 2:7, 3:9
    Then the capacity slope is refused

Feature: The page of capacity rests on the recorded slopes

  Scenario: The page's tables are those of the recorded slopes
    When the capacity page is compared with the recorded slopes
    Then the capacity tables agree

  Scenario: A changed figure on the page is found
    Given a copy of the capacity page with one figure changed
    When the capacity page is compared with the recorded slopes
    Then the capacity tables differ

  Scenario: A changed slope is found
    Given a copy of the capacity slopes with one slope doubled
    When the capacity page is compared with the recorded slopes
    Then the capacity tables differ

  Scenario: Every module that the page names exists
    When the capacity page's modules are looked for
    Then no capacity module is missing

  Scenario: A module that does not exist is found
    Given a copy of the capacity page that names "trefoilpulley_core.nowhere"
    When the capacity page's modules are looked for
    Then the capacity module "trefoilpulley_core.nowhere" is missing

  Scenario: Each recorded slope is the line of its own points
    Then each capacity slope has at least 4 points and fits them

  Scenario: Each row tells its budget and its margin, or that it has none
    Then each capacity row has a mechanism, arithmetic and a margin

  Scenario: A line of least squares goes through exact points
    When a capacity slope is fitted through 1:5, 2:7, 3:9, 4:11
    Then the capacity slope is 2 from 3 with no spread

  Scenario: Three points make no slope
    When a capacity slope is fitted through 1:5, 2:7, 3:9
    Then the capacity slope is refused

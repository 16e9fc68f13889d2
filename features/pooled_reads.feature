Feature: Reads at a pooled member
  A read within a stated age never sees older data, also at a primary
  that was deposed behind a network partition and does not know it.

  Scenario Outline: a read is refused where its class's freshness is not met
    Given a pooled <role> whose data were last proven <proven> ms ago
    When a read <asks> is pooled
    Then the pooled read is <outcome>

    Examples:
      | role    | proven | asks                       | outcome        |
      | replica | 500    | of at most 2000 ms         | answered       |
      | replica | 2500   | of at most 2000 ms         | replica-behind |
      | replica | 2500   | of any age                 | answered       |
      | primary | 500    | of at most 2000 ms         | answered       |
      | primary | 2500   | of at most 2000 ms         | replica-behind |
      | primary | 2500   | of any age                 | answered       |
      | primary | 500    | of the present             | not-primary    |
      | primary | 0      | of the present             | answered       |

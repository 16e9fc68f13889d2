Feature: Reads at a pooled member
  A read with a maximum age never sees older data. The limit also holds at
  a primary that was replaced during a network partition and has not
  noticed.

  Scenario Outline: a read is refused when the member can't meet its class's freshness
    Given a pooled <role> whose data were last proven current <proven> ms ago
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

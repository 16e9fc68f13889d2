Feature: Answers of the platform's service that can't be read

  A call with such an answer may have taken effect, so that it counts as a
  call whose answer was lost. Nothing else stops.

  Scenario Outline: an answer that can't be read counts as lost
    Given a service that answers every call with <body>
    Then each call of the store client fails as lost

    Examples:
      | body        |
      | an object   |
      | a list      |
      | a text      |
      | nothing     |
      | deep nesting |

  Scenario: a watch with an answer that can't be read reports its failure
    Given a service that answers every call with an object
    When the store client starts a watch
    Then the watch reports a lost answer

  Scenario: a response that breaks off is waited for twice as long as its begin
    Given a response that begins 2 s after its request and then breaks off
    When the store client makes a call with a time limit of 3 s
    Then the call has failed as lost after 3 s

  Scenario: a call is lost on an idle connection after another one was silent
    Given two idle connections that become silent, and a service that is well
    When the store client makes two calls
    Then the second call is answered

Feature: Stand-in links between availability zones

  Scenario: data arrives in order whatever the jitter and loss
    Given a standins link of 3 ms with jitter 2 ms and loss 0.2
    When 500 standins packets leave 0.1 ms apart
    Then they arrive in order, none sooner than 3 ms
    And some standins packet takes at least 200 ms

  Scenario: the same seed gives the same delays
    Given a standins link of 5 ms with jitter 2 ms and loss 0.05
    When 200 standins packets leave 1.0 ms apart
    Then another standins link with the same seed gives the same arrivals

  Scenario: a cut holds one direction back and spares the other
    Given standins zones north and south
    When the standins direction north to south is cut
    Then standins data from north to south waits
    And standins data from south to north passes
    When the standins cut is healed
    Then standins data from north to south passes

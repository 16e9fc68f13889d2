Feature: Simulated links between availability zones

  Scenario: data arrives in order despite jitter and loss
    Given a simulated link of 3 ms with jitter 2 ms and loss 0.2
    When 500 packets are sent over the simulated link 0.1 ms apart
    Then the packets arrive in order, none sooner than 3 ms
    And some packet takes at least 200 ms

  Scenario: the same seed gives the same delays
    Given a simulated link of 5 ms with jitter 2 ms and loss 0.05
    When 200 packets are sent over the simulated link 1.0 ms apart
    Then another simulated link with the same seed gives the same arrivals

  Scenario: a cut delays the data of one direction only
    Given simulated zones north and south
    When the simulated link from north to south is cut
    Then simulated data from north to south waits
    And simulated data from south to north passes
    When the simulated cut is healed
    Then simulated data from north to south passes

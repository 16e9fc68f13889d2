Feature: Planned stop of an entry host
  A request that the host has read gets its answer, whenever it arrives.

  Background:
    Given an emulated deployment of 1 hosts

  Scenario: a request that arrives while its idle session is closed is answered
    Given a caller of "orders" that sends "READ a" when its session was found idle
    When host 0 closes its idle sessions
    Then the caller gets the answer "DONE" and then the end of its session

  Scenario: requests sent together before a planned stop are all answered
    Given a caller of "orders" connected to host 0
    And host 0 is closing its sessions
    When the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets the answers "", "1" and "-"

  Scenario: requests sent together at the end of a planned stop are all rejected
    Given a caller of "orders" connected to host 0
    When host 0 reaches the last phase of its planned stop
    And the caller sends "WRITE p 1" and "READ p" and "READ q" in one write
    Then the caller gets 3 answers "BUSY" and then the end of its session

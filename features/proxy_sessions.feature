Feature: Values and prepared statements follow their session

  Scenario: values are set once and reused
    Given a connection and a session with the values "tz=utc"
    Then the connection needs "set tz=utc"
    And the connection needs nothing

  Scenario: another session's values never stay behind
    Given a connection and a session with the values "tz=utc"
    When the connection has served it
    And a session with the values "lang=el" comes
    Then the connection needs "reset, set lang=el"

  Scenario: a changed value needs no reset
    Given a connection and a session with the values "tz=utc"
    When the connection has served it
    And a session with the values "tz=eet" comes
    Then the connection needs "set tz=eet"

  Scenario: sessions share prepared statements by their shape
    Given a connection and a session with the values ""
    When "s1" is prepared as a READ of shape "q2c" and runs
    Then the connection was asked to prepare "r.q2c"
    When "other" is prepared as a READ of shape "q2c" and runs
    Then the connection was asked to prepare nothing
    When "s1" is prepared as a WRITE of shape "q2c" and runs
    Then the connection was asked to prepare "w.q2c"

  Scenario: a reset forgets the prepared statements too
    Given a connection and a session with the values "tz=utc"
    When "s1" is prepared as a READ of shape "q2c" and runs
    And a session with the values "" comes
    And "s1" is prepared as a READ of shape "q2c" and runs
    Then the connection was asked to prepare "r.q2c"

Feature: Set-up of a connection for a session

  Scenario: session variables are set once per connection
    Given a connection and a session with the variables "tz=utc"
    Then the connection needs the set-up "set tz=utc"
    And the connection needs no set-up

  Scenario: the variables of another session are reset
    Given a connection and a session with the variables "tz=utc"
    When the connection has served the session
    And a session with the variables "lang=el" uses the connection
    Then the connection needs the set-up "reset, set lang=el"

  Scenario: a variable with another value is set without a reset
    Given a connection and a session with the variables "tz=utc"
    When the connection has served the session
    And a session with the variables "tz=eet" uses the connection
    Then the connection needs the set-up "set tz=eet"

  Scenario: prepared statements of the same shape are shared
    Given a connection and a session with the variables ""
    When "s1" is prepared as a READ of shape "q2c" and executed
    Then the connection prepared the statement "r.q2c"
    When "other" is prepared as a READ of shape "q2c" and executed
    Then the connection prepared no statement
    When "s1" is prepared as a WRITE of shape "q2c" and executed
    Then the connection prepared the statement "w.q2c"

  Scenario: a reset also removes the prepared statements
    Given a connection and a session with the variables "tz=utc"
    When "s1" is prepared as a READ of shape "q2c" and executed
    And a session with the variables "" uses the connection
    And "s1" is prepared as a READ of shape "q2c" and executed
    Then the connection prepared the statement "r.q2c"

Feature: Explanation of a failed request, the log and the metrics

  Scenario: a refusal during a change of primary is explained
    Given the log lines
      """
      {"event":"primary-proved","host":"a-1","group":"g","member":"m1","timestamp":10.0}
      {"event":"primary-missed","host":"a-1","group":"g","member":"m1","failing_ms":12,"timestamp":20.0}
      {"event":"primary-missed","host":"a-1","group":"other","member":"x","failing_ms":12,"timestamp":20.1}
      {"event":"statement-refused","host":"a-1","request":"r1","group":"g","failure":"no-upstream","timestamp":20.2}
      {"event":"statement-refused","host":"a-1","request":"r2","group":"g","failure":"no-upstream","timestamp":20.3}
      {"event":"change-over","host":"a-1","group":"g","member":"m2","timestamp":20.9}
      {"event":"change-over","host":"b-1","group":"g","member":"m2","timestamp":20.9}
      """
    When request "r1" is explained
    Then the command shows the events "primary-missed, statement-refused, change-over"

  Scenario: the events of a request at two hosts are shown in order
    Given the log lines
      """
        20.4 b-1 {"event":"statement-retried","host":"b-1","request":"r1","group":"g","failure":"replica-behind","timestamp":20.4}
      20.2 a-1 {"event":"statement-refused","host":"a-1","request":"r1","group":"g","failure":"overloaded","timestamp":20.2}
      not a log line
      {"broken": true
      """
    When request "r1" is explained
    Then the command shows the events "statement-refused, statement-retried"

  Scenario: an unknown request is reported
    Given the log lines
      """
      {"event":"host-started","host":"a-1","timestamp":1.0}
      """
    When request "r9" is explained
    Then the command fails with "no line names the request r9"

  Scenario: a log that is not read does not block the host
    Given a log sink on a pipe that is not read
    When 5000 lines of one event and 1 line of another are logged
    Then logging does not block and the queue is bounded
    And the dropped lines are counted by event
    When the pipe is read and a line is logged
    Then the log states how many lines were dropped

  Scenario: the last lines were lost when the reader of the log was slow
    Given a log sink on a pipe that is not read
    When 33 lines of one event and 1 line of another are logged
    And the log sink stops while the pipe is full
    Then the log ends with the last line

  Scenario: the page of metrics lists exactly the metrics of the proxy
    When the page of metrics is compared with the proxy's metrics
    Then both list the same metrics

  Scenario: the metrics are rendered as text
    Given metrics with a request of 30 ms and 2 dropped lines
    Then the text contains the lines
      """
      trefoilpulley_requests_total{kind="session",outcome="done"} 1.0
      trefoilpulley_request_seconds_bucket{kind="session",le="0.05"} 1.0
      trefoilpulley_request_seconds_count{kind="session"} 1.0
      trefoilpulley_sessions 4.0
      trefoilpulley_log_dropped_total{event="statement-refused"} 2.0
      """

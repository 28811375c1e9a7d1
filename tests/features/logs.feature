Feature: Logs that explain a failure afterwards

  Scenario: The page of events says what the code logs
    Then docs/LOGS.md lists each event with its fields

  Scenario: The lines of one request come in the order in which it happened
    # Guards against lines in the wrong order where the clocks of hosts differ.
    Given the logs of a request that was declined by "b" and answered by "c"
    And the clock of "c" is 3 s behind and that of "b" is 3 s ahead
    Then its hops are "b turned_away, a declined, c run_ended, a answered"

  Scenario: A standard output that nobody reads holds up nothing
    # Guards against a write to a full pipe that blocks every request of the node.
    Given a log whose reader has stopped reading
    When 20000 lines are logged within 100 s
    Then the log holds at most 600 kB of them
    And when the reader goes on, it gets whole lines and is told how many are missing

  Scenario: Failed requests are not left out for those that went well
    Given a log with a reader
    When 1000 requests that went well and 50 that failed are logged in one second
    Then all 50 lines of those that failed are there
    And it is told how many are missing

  @fixture.relay_deployment
  Scenario: Every line that nodes write is a known event
    When callers at "a, b, c" send "GET /look/x"
    And callers at "a, b, c" send "POST /order/x?cut=1"
    And callers at "a, b, c" send "GET /nowhere/x"
    Then each line of their logs is a known event with its fields

  @fixture.relay_deployment
  Scenario: From the id of a failed request to its cause, by the command line
    When a caller at "a" sends "POST /order/x?cut=1"
    Then the command line tells from the logs that "c" lost it at its target

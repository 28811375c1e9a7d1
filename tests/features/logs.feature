Feature: Logs that explain a failure afterwards

  Scenario: The page of events documents what the code logs
    Then docs/LOGS.md lists each event with its fields

  Scenario: The log lines of a request are shown in causal order
    # Guards against a wrong order of lines when the clocks of hosts differ.
    Given the logs of a request that was declined by "b" and answered by "c"
    And the clock of "c" is 3 s behind and that of "b" is 3 s ahead
    Then its hops are "b turned_away, a declined, c run_ended, a answered"

  Scenario: A standard output that is not read blocks nothing
    # Guards against a write to a full pipe that blocks every request of the node.
    Given a log whose reader has stopped reading
    When 20000 lines are logged within 100 s
    Then the log holds at most 600 kB of them
    And when the reader resumes, it gets whole lines and the number of missing lines

  Scenario: Lines of failed requests are not dropped in favour of successful ones
    Given a log with a reader
    When 1000 successful requests and 50 failed ones are logged in one second
    Then all 50 lines of failed requests are there
    And the log says how many lines are missing

  @fixture.relay_deployment
  Scenario: Every log line of a node is a documented event
    When callers at "a, b, c" send "GET /look/x"
    And callers at "a, b, c" send "POST /order/x?cut=1"
    And callers at "a, b, c" send "GET /nowhere/x"
    Then each line of their logs is a known event with its fields

  @fixture.relay_deployment
  Scenario: The command line finds the cause of a failed request by its id
    When a caller at "a" sends "POST /order/x?cut=1"
    Then the command line reports from the logs that "c" lost it at its target

Feature: Metrics and log lines

  @fixture.edge_deployment
  Scenario: A node's metrics can be scraped as Prometheus text
    When a caller sends 3 lookups and one call to an unknown service through a1
    Then the metrics of a1 show 3 calls to counter with code 0
    And the metrics of a1 show 1 calls to nothing with code 105
    And the metrics of a1 show callers, peer links, slots and durations

  Scenario: Durations expire after a minute
    Given metrics on a fake loop
    When a call of 500 ms was answered
    Then the 0.99 duration is about 500 ms
    When 61 seconds pass on the fake loop
    Then the 0.99 duration is about 0 ms

  Scenario: A decision is logged soon, with the time at which it was made
    # Lines are buffered and written in batches; each must keep its own time and reason, and none
    # may wait for the next decision.
    Given a log on a fake loop
    When two decisions 100 ms apart are logged
    Then nothing was written yet
    When 0.3 seconds pass on the fake loop
    Then both lines were written in order with their reasons

  Scenario: The buffer of decisions is bounded
    Given a log on a fake loop
    When 5000 decisions are logged in one iteration of the loop
    Then all 5000 lines were written

  Scenario: An error is written at once, after the decisions before it
    Given a log on a fake loop
    When a decision is logged and then an error
    Then the decision's line is followed by the error's with its traceback

  Scenario: Decisions are not buffered at a higher log level
    Given a log at level WARNING on a fake loop
    When two decisions 100 ms apart are logged
    Then none of them is buffered
    When 0.3 seconds pass on the fake loop
    Then nothing was written yet

  Scenario: The table of result codes is complete
    Then docs/RESULT-CODES.md lists each code's number, name and HTTP status, and no other code

Feature: Metrics and log lines

  @fixture.edge_deployment
  Scenario: What a node did can be pulled as Prometheus text
    When a caller sends 3 lookups and one call to a service that is not known through a1
    Then the metrics of a1 tell 3 calls to counter with code 0
    And the metrics of a1 tell 1 calls to nothing with code 105
    And the metrics of a1 tell callers, peer links, slots and durations

  Scenario: Durations are forgotten after a minute
    Given metrics on a loop of the test
    When a call of 500 ms was answered
    Then the 0.99 duration is about 500 ms
    When 61 seconds pass on that loop
    Then the 0.99 duration is about 0 ms

  Scenario: A decision's line is written soon, with the time of the decision
    # Lines are noted and written in batches; each must keep its own time and reason, and none
    # may wait for the next decision.
    Given a log on a loop of the test
    When two decisions 100 ms apart are noted
    Then nothing was written yet
    When 0.3 seconds pass on that loop
    Then both lines were written in order with their reasons

  Scenario: Decisions are not collected without a bound
    Given a log on a loop of the test
    When 5000 decisions are noted in one turn
    Then all 5000 lines were written

  Scenario: A fault is written at once behind what was noted before
    Given a log on a loop of the test
    When a decision is noted and then a fault
    Then the decision's line is followed by the fault's with its traceback

  Scenario: Decisions are not noted above their level
    Given a log at level WARNING on a loop of the test
    When two decisions 100 ms apart are noted
    And 0.3 seconds pass on that loop
    Then nothing was written yet

  Scenario: The table of result codes is whole
    Then docs/RESULT-CODES.md tells each code's number, name and HTTP status, and no other

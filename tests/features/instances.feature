Feature: Which process of the target is running, whatever arrives late

  A node must never hand work to a target that has said it leaves, nor hold back from a new one
  because of what an old one said.

  Scenario: A heartbeat from before the leaving arrives after it
    # The network held up "ready" and delivered it behind "leaving", which was acknowledged.
    Given a heartbeat 5 of "i-1" that is ready
    And a heartbeat 7 of "i-1" that is leaving
    When a heartbeat 6 of "i-1" that is ready
    Then no work is handed over

  Scenario: A heartbeat of the process before arrives after its successor's
    Given a heartbeat 40 of "i-1" started at 1000 that is ready
    And a heartbeat 1 of "i-2" started at 9000 that is ready
    When a heartbeat 41 of "i-1" started at 1000 that is ready
    Then work is handed to "i-2"

  Scenario: The same without a start time
    Given a heartbeat 40 of "i-1" that is ready
    And a heartbeat 1 of "i-2" that is ready
    When a heartbeat 41 of "i-1" that is ready
    Then work is handed to "i-2"

  Scenario: A process starts again under the same id
    # Its count starts anew; by the count alone all its heartbeats would be old ones.
    Given a heartbeat 40 of "i-1" started at 1000 that is leaving
    When a heartbeat 1 of "i-1" started at 9000 that is ready
    Then work is handed to "i-1"

  Scenario: A farewell of the process before does not end its successor
    Given a heartbeat 40 of "i-1" started at 1000 that is ready
    And a heartbeat 1 of "i-2" started at 9000 that is ready
    When "i-1" says farewell
    Then work is handed to "i-2"

  Scenario: A farewell without a leaving before it ends all new work
    Given a heartbeat 5 of "i-1" that is ready
    When "i-1" says farewell
    Then no work is handed over

  Scenario: A heartbeat that was held up does not call a process back after its farewell
    Given a heartbeat 5 of "i-1" that is ready
    And "i-1" says farewell
    When a heartbeat 4 of "i-1" that is ready
    Then no work is handed over

  Scenario: A node that starts beside a living target learns it from its health
    When the health path answers well as "i-1"
    Then work is handed to "i-1"

  Scenario: A node that starts beside a leaving target gives it no work
    # The node before it had acknowledged the leaving. One late "ready" must not undo that.
    Given the health path says no as "i-1"
    When a heartbeat 4 of "i-1" that is ready
    Then no work is handed over
    When a heartbeat 7 of "i-1" that is leaving
    Then no work is handed over

  Scenario: A node that starts beside a target whose health is wrongly bad trusts its heartbeats
    Given the health path says no as "i-1"
    And a heartbeat 4 of "i-1" that is ready
    When a heartbeat 5 of "i-1" that is ready
    Then work is handed to "i-1"

  Scenario: Bad health does not count against heartbeats
    Given a heartbeat 5 of "i-1" that is ready
    When the health path says no as "i-1"
    Then work is handed to "i-1"

  Scenario: A target that takes no connections gets no work until it does
    Given a heartbeat 5 of "i-1" that is ready
    When the target takes no connection
    Then no work is handed over
    When the health path answers well as "i-2"
    Then work is handed to "i-2"

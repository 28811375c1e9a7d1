Feature: The node knows the target's current process although messages arrive late

  A node must never send requests to a target that has announced that it is leaving, nor withhold
  them from a new process because of a message of an earlier one.

  Scenario: A heartbeat sent before the announcement of leaving arrives after it
    # The network delays "ready" and delivers it after "leaving", which was acknowledged.
    Given a heartbeat 5 of "i-1" that is ready
    And a heartbeat 7 of "i-1" that is leaving
    When a heartbeat 6 of "i-1" that is ready
    Then no requests are sent

  Scenario: A heartbeat of the previous process arrives after its successor's
    Given a heartbeat 40 of "i-1" started at 1000 that is ready
    And a heartbeat 1 of "i-2" started at 9000 that is ready
    When a heartbeat 41 of "i-1" started at 1000 that is ready
    Then requests are sent to "i-2"

  Scenario: A heartbeat of the previous process arrives late, without a start time
    Given a heartbeat 40 of "i-1" that is ready
    And a heartbeat 1 of "i-2" that is ready
    When a heartbeat 41 of "i-1" that is ready
    Then requests are sent to "i-2"

  Scenario: A process restarts under the same id
    # Its sequence numbers start over; judged by these alone, all its heartbeats would be outdated.
    Given a heartbeat 40 of "i-1" started at 1000 that is leaving
    When a heartbeat 1 of "i-1" started at 9000 that is ready
    Then requests are sent to "i-1"

  Scenario: Deregistering the previous process does not end its successor
    Given a heartbeat 40 of "i-1" started at 1000 that is ready
    And a heartbeat 1 of "i-2" started at 9000 that is ready
    When "i-1" deregisters
    Then requests are sent to "i-2"

  Scenario: Deregistering without an announcement of leaving stops all new requests
    Given a heartbeat 5 of "i-1" that is ready
    When "i-1" deregisters
    Then no requests are sent

  Scenario: A delayed heartbeat does not make a process usable again after it has deregistered
    Given a heartbeat 5 of "i-1" that is ready
    And "i-1" deregisters
    When a heartbeat 4 of "i-1" that is ready
    Then no requests are sent

  Scenario: A heartbeat that was sent before a deregistration arrives after it
    # Guards against requests to a target that has deregistered because its last heartbeat was slow.
    Given a heartbeat 5 of "i-1" started at 1000 that is ready
    And "i-1" deregisters
    When a heartbeat 6 of "i-1" started at 1000 that is ready
    Then no requests are sent

  Scenario: A process that restarts under the same id after a deregistration is used
    Given a heartbeat 5 of "i-1" started at 1000 that is ready
    And "i-1" deregisters
    When a heartbeat 1 of "i-1" started at 9000 that is ready
    Then requests are sent to "i-1"

  Scenario: A node that starts beside a running target learns its id from the health path
    When the health path responds as healthy for "i-1"
    Then requests are sent to "i-1"

  Scenario: A node that starts beside a leaving target sends it no requests
    # The previous process of the node had acknowledged the leave. One late "ready" must not undo
    # it.
    Given the health path responds as unhealthy for "i-1"
    When a heartbeat 4 of "i-1" that is ready
    Then no requests are sent
    When a heartbeat 7 of "i-1" that is leaving
    Then no requests are sent

  Scenario: A node that starts beside a target wrongly reported unhealthy trusts its heartbeats
    Given the health path responds as unhealthy for "i-1"
    And a heartbeat 4 of "i-1" that is ready
    When 10 s have passed since the node's start
    And a heartbeat 5 of "i-1" that is ready
    Then requests are sent to "i-1"

  Scenario: Heartbeats that were sent before the node's restart arrive after it
    # Guards against requests to a target that has deregistered at the node's earlier process, because
    # several of its heartbeats were slow.
    Given the health path responds as unhealthy for "i-1"
    When a heartbeat 4 of "i-1" that is ready
    And a heartbeat 5 of "i-1" that is ready
    And 5 s have passed since the node's start
    And a heartbeat 6 of "i-1" that is ready
    Then no requests are sent
    When the health path responds as healthy for "i-1"
    Then requests are sent to "i-1"

  Scenario: An unhealthy response does not overrule heartbeats
    Given a heartbeat 5 of "i-1" that is ready
    When the health path responds as unhealthy for "i-1"
    Then requests are sent to "i-1"

  Scenario: A target that accepts no connections gets no requests until it does
    Given a heartbeat 5 of "i-1" that is ready
    When the target accepts no connection
    Then no requests are sent
    When the health path responds as healthy for "i-1"
    Then requests are sent to "i-1"

  Scenario Outline: A process that replaces another one gets requests once it has named its service
    # Guards against requests to a process of another service that has got the address.
    Given a heartbeat 5 of "i-1" that is ready
    When the target accepts no connection
    And <the node hears of> "i-2"
    Then no requests are sent
    When a heartbeat 1 of "i-2" that is ready
    Then requests are sent to "i-2"

    Examples:
      | the node hears of                         |
      | the health path responds as healthy for   |
      | a request is answered by another process, |

  Scenario: A process of another service that is there first gets no requests
    # Guards against a node that starts beside a process of another service and takes it for its own.
    Given a heartbeat of "i-1" that names another service
    When the health path responds as healthy for "i-1"
    Then no requests are sent

  Scenario: A process that turns out to be of another service gets no more requests
    # Guards against a process whose health response comes before its first heartbeat.
    Given the health path responds as healthy for "i-1"
    When a heartbeat of "i-1" names another service
    And the health path responds as healthy for "i-1"
    Then no requests are sent

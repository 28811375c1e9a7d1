@fixture.fresh_relay_deployment
Feature: A target's rate limit, and its statement that it leaves, in its responses

  The three hosts of relay_path.feature, started anew for each scenario; "a" and "b" have targets of
  the same service. Callers keep their connections. The target's rules are checked from its journal
  and from what its callers got.

  Scenario: A target gets no more requests than the rate limit that it advertises
    # Guards against nodes that ignore a rate limit.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    When the target of "a" advertises "limit=6"
    And 6.0 s pass for the callers
    Then no target got more than its rate limit allows
    And the target of "a" got at least 18 requests since then

  Scenario: A rate limit survives a restart of the node beside the target
    # Guards against a restarted node that sends a limited target the load of an unlimited one.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "limit=3.8"
    And 2.0 s pass for the callers
    When the node of "a" is killed and started again under load
    And 4.0 s pass for the callers
    Then no target got more than its rate limit allows

  Scenario: A rate limit holds while the node beside the target is suspended and wakes
    # Guards against a node that sends all requests that it has held at once.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "limit=3.8"
    And 1.0 s pass for the callers
    When the node of "a" is suspended for 1.5 s
    And 4.0 s pass for the callers
    Then no target got more than its rate limit allows

  Scenario: A process that replaces a limited one is not limited
    # Guards against a limit that belongs to an address and not to a process.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "limit=1"
    And 1.0 s pass for the callers
    When the target of "a" is replaced
    And 3.0 s pass for the callers
    Then the target of "a" got at least 40 requests since then

  Scenario: A target without a rate limit any more gets requests as before
    # Guards against a node that never learns that a rate limit has ended.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "limit=2"
    And 5.0 s pass for the callers
    When the target of "a" advertises ""
    And 2.0 s pass for the callers
    Then no target got more than its rate limit allows
    And the target of "a" got at least 40 requests since then

  Scenario: A target that says in its responses that it leaves gets no requests
    # Guards against nodes that wait for an announcement that such a target doesn't make.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    When the target of "a" advertises "leaving=1"
    And 4.0 s pass for the callers
    Then no request reached a leaving target too late
    And no caller's request has failed

  Scenario: A leaving target gets no requests from a restarted node
    # Guards against a restarted node beside a target that leaves and whose heartbeats don't say so.
    Given callers at "a, b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "leaving=1"
    And 2.5 s pass for the callers
    When the node of "a" is killed and started again under load
    And 3.0 s pass for the callers
    Then no request reached a leaving target too late

  Scenario: A heartbeat does not make a target that leaves usable again
    # Guards against a heartbeat without the announcement that arrives after the statement.
    Given callers at "b, c" keep sending "GET /look/x?work_ms=20"
    And the target of "a" advertises "leaving=1&health=1"
    When the target of "a" announces that it leaves and then that it stays
    And 3.0 s pass for the callers
    Then no request reached a leaving target too late

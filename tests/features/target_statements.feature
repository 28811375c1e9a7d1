Feature: What a target's responses say of the target itself

  Rate limits and the statement that a process leaves, in responses that are late, of another
  process, unsigned or invalid. Uses a fake clock and no network.

  Scenario: A response of the process before does not limit its successor
    Given a target whose process "i-1" runs
    And a request was sent to it
    When "i-2" replaces it
    And the request's response says "server-limit: 6, response-stamp: s"
    Then no rate limit applies

  Scenario: A response of the process before does not close its successor
    # Guards against a new process that gets no requests because its predecessor was leaving.
    Given a target whose process "i-1" runs
    And a request was sent to it
    When "i-2" replaces it
    And the request's response says "server-leaving: 1, response-stamp: s"
    Then the target accepts requests

  Scenario: A process that restarts under the same id is used again
    Given a target whose process "i-1" runs
    And a request was sent to it
    When the request's response says "server-leaving: 1, response-stamp: s"
    Then the target accepts no requests
    When "i-1" restarts under the same id
    Then the target accepts requests

  Scenario: A health response that says that the process leaves closes the target
    Given a target whose process "i-1" runs
    When its health response says "instance: i-1, server-leaving: 1"
    Then the target accepts no requests
    When it sends a heartbeat that is ready
    Then the target accepts no requests

  Scenario: A health response of another process says nothing of this one
    Given a target whose process "i-1" runs
    When "i-2" replaces it
    And its health response says "instance: i-1, server-leaving: 1, server-limit: 6"
    Then the target accepts requests
    And no rate limit applies

  Scenario Outline: Only a signed response to a later request ends a rate limit
    # Guards against responses to probes and refusals that needn't mention the limit.
    Given a target whose process "i-1" runs
    And a request was sent to it
    And the request's response says "server-limit: 6, response-stamp: s"
    When <response>
    Then the rate limit is <per_s>

    Examples:
      | response                                                      | per_s |
      | its health response says "instance: i-1"                      | 6.0   |
      | the request's response says "response-stamp: s"               | 6.0   |
      | the response to a later request says "request-id: r"          | 6.0   |
      | the response to a later request says "response-stamp: s"      | None  |
      | the response to a later request says "response-stamp: s, server-limit: 3.8" | 3.8 |
      | the response to a later request says "response-stamp: s, server-limit: x"   | None |

  Scenario: An invalid rate limit is logged once and counted each time
    Given a target whose process "i-1" runs
    And a request was sent to it
    When the request's response says "server-limit: many, response-stamp: s"
    And the request's response says "server-limit: many, response-stamp: s"
    Then no rate limit applies
    And the log has 1 line "rate_limit_invalid" and the counter stands at 2

  Scenario: A rate limit removes from the queue what can't start before its deadline
    # Guards against requests that wait in a queue until their deadline although it can't be met.
    Given a target whose process "i-1" runs, with a full queue of work that lasts 0.4 s
    When its health response says "instance: i-1, server-limit: 1"
    Then each queued request starts within its deadline at 1 request a second

  Scenario: An entry node remembers a process that leaves beyond a restart of the node beside it
    Given an entry node that has passed on a response of "i-1" that says that it leaves
    Then it sends nothing to "i-1" of the same status
    And it follows a later status of the same node
    And it sends nothing to "i-1" of a restarted node
    And it sends requests to "i-2" of a restarted node
    When 61 s have passed
    Then it sends requests to "i-1" of a restarted node

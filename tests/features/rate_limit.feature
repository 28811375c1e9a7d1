Feature: How many requests a target with an advertised rate limit is sent

  Uses a simulated clock and no network; requests are always waiting.

  Scenario Outline: A target gets what it accepts, and not more
    # Guards against a limit that is exceeded in a window, and against one that isn't used.
    Given a target under full load for 3.0 s
    When it advertises a limit of <per_s>
    And 12.0 s pass under full load
    Then no window has more requests than the limit allows
    And it got at least <least> requests in the last 10 s

    Examples:
      | per_s | least |
      | 40.0  | 390   |
      | 6.0   | 59    |
      | 3.8   | 37    |
      | 1.0   | 9     |
      | 0.3   | 2     |

  Scenario: A target that accepts no requests is asked now and then whether that still holds
    # Guards against a target that never gets a request again.
    Given a target under full load for 3.0 s
    When it advertises a limit of 0.0
    And 20.0 s pass under full load
    Then no window has more requests than the limit allows
    And it got at least 2 requests in the last 10 s
    When it advertises no limit
    And 6.0 s pass under full load
    Then it got at least 20 requests in the last 2 s

  Scenario: An idle time does not add up to a burst
    # Guards against several seconds' requests at once after an idle time or a suspension.
    Given a target under full load for 3.0 s
    When it advertises a limit of 3.0
    And 2.0 s pass under full load
    And 30.0 s pass without requests
    And 0.1 s pass under full load
    Then it got at most 3 requests in the last 1 s

  Scenario: A limit ends with the first response to a later request that doesn't advertise it
    Given a target under full load for 3.0 s
    When it advertises a limit of 2.0
    And 5.0 s pass under full load
    And it advertises no limit
    And 3.0 s pass under full load
    Then it got at least 40 requests in the last 2 s

  Scenario: A response that is older than the limit doesn't end it
    # Guards against responses that cross on the way.
    Given a target whose limit of 6.0 was read at 10.0 s
    When the response to a request sent at 9.9 s doesn't advertise it
    Then the limit is still 6.0
    When the response to a request sent at 10.1 s doesn't advertise it
    Then there is no limit

  Scenario: A node that has just started sends few requests before the first response
    # Guards against a restarted node that floods a target whose limit it doesn't know.
    Given a node that has just started beside a target that doesn't respond
    When 0.6 s pass under full load
    Then it got at most 4 requests in the last 1 s
    And the next request is expected to start within 150 ms

  Scenario: Random series of limits, restarts and suspensions
    # Guards against a sequence of changes that lets more requests through than a limit allows.
    Then no random series has a window with more requests than its limit allows

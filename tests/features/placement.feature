Feature: Ranking of targets for a request

  Hosts have noisy neighbours: for some 300 ms at a time a target runs at a quarter of its speed.
  The ranking combines reported slowness, measured response times, queued work and failures into one
  expected time. The hosts and the clock are simulated.

  Background:
    Given work of 100 ms with an objective of 400 ms, requested in domain "a"

  Scenario: A slow host is avoided although it is idle
    # Guards against requests sent to a host that is idle because it is slow.
    Given target "slow" in domain "b" with 0 of 7 running and slowness 4.0
    And target "fast" in domain "b" with 3 of 7 running and slowness 1.0
    Then the order is "fast, slow"

  Scenario: A full fast target is ranked after a free one of normal speed
    Given target "full" in domain "b" with 9 of 7 running and slowness 1.0
    And target "free" in domain "b" with 2 of 7 running and slowness 1.1
    Then the order is "free, full"

  Scenario: A sufficient target in the same domain is preferred to a faster one elsewhere
    # Guards against billed traffic between failure domains without a gain for the caller.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 2 of 7 running and slowness 1.2
    Then the order is "near, far"

  Scenario: A slow target in the same domain is not preferred
    Given target "far" in domain "b" with 2 of 7 running and slowness 1.0
    And target "near" in domain "a" with 0 of 7 running and slowness 4.0
    Then the order is "far, near"

  Scenario: The last free slot of a near target is left to requests already on their way
    # Guards against several entry nodes that take the same free slot.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 6 of 7 running and slowness 1.0
    Then the order is "far, near"

  Scenario: Requests sent since the last status are counted
    Given target "one" in domain "b" with 2 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And 4 requests were sent to "one" since its last status
    Then the order is "two, one"

  Scenario: A target that is slow without reporting it is ranked by its measured response time
    # Guards against a target whose reported slowness does not include its disk or its database.
    Given target "odd" in domain "b" with 0 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And target "three" in domain "b" with 3 of 7 running and slowness 1.0
    And requests at "odd" take 500 ms on average
    Then the first target is not "odd"

  Scenario: A target that fails half of its requests is ranked last while another one works
    # Guards against a target that attracts requests because it fails fast.
    Given target "broken" in domain "a" with 0 of 7 running and slowness 1.0
    And target "busy" in domain "b" with 8 of 7 running and slowness 2.0
    And "broken" failed 0.6 of its requests
    Then the order is "busy, broken"

  Scenario: A silent host is the last resort
    Given target "silent" in domain "a" with 0 of 7 running and slowness 1.0
    And target "busy" in domain "b" with 8 of 7 running and slowness 2.0
    And "silent" was last heard 0.8 s ago
    Then the order is "busy, silent"

  Scenario: A target that has just started is ranked behind a warm one
    Given target "cold" in domain "b" with 0 of 7 running and slowness 1.0
    And target "warm" in domain "b" with 4 of 7 running and slowness 1.0
    And "cold" is warming for 2 s
    Then the order is "warm, cold"

  Scenario: A service whose targets all fail some requests does not count as slow
    # Guards against lookups that are refused without being sent because the failures of a service
    # make its answers look late.
    Given target "one" in domain "a" with 1 of 7 running and slowness 1.0
    And target "two" in domain "b" with 1 of 7 running and slowness 1.0
    And "one" failed 0.55 of its requests
    And "two" failed 0.55 of its requests
    Then each is expected to answer within 130 ms

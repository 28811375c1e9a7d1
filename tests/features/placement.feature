Feature: Where a request goes

  Hosts share their machines with noisy neighbours: for some 300 ms at a time a target works at a
  quarter of its speed. The choice puts speed, pace, waiting work and failures into one expected
  time. All cases are on a clock of their own, without a network.

  Background:
    Given work of 100 ms with an objective of 400 ms, asked for in domain "a"

  Scenario: A slow host is left alone though it is empty
    # Guards against requests sent to a host that is empty because it is slow.
    Given target "slow" in domain "b" with 0 of 7 running and slowness 4.0
    And target "fast" in domain "b" with 3 of 7 running and slowness 1.0
    Then the order is "fast, slow"

  Scenario: A full fast target comes behind a free one of usual speed
    Given target "full" in domain "b" with 9 of 7 running and slowness 1.0
    And target "free" in domain "b" with 2 of 7 running and slowness 1.1
    Then the order is "free, full"

  Scenario: A near target that is good enough goes before a faster far one
    # Guards against paid traffic between failure domains that gains its caller nothing.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 2 of 7 running and slowness 1.2
    Then the order is "near, far"

  Scenario: A near target that is slow now does not hold its domain's callers
    Given target "far" in domain "b" with 2 of 7 running and slowness 1.0
    And target "near" in domain "a" with 0 of 7 running and slowness 4.0
    Then the order is "far, near"

  Scenario: A near target keeps its last slot for who is already on the way
    # Guards against several entry nodes that take the same free slot.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 6 of 7 running and slowness 1.0
    Then the order is "far, near"

  Scenario: Requests sent since the last status count
    Given target "one" in domain "b" with 2 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And 4 requests were sent to "one" since its last status
    Then the order is "two, one"

  Scenario: A target that is slow without saying so is found by its pace
    # Guards against a target whose reported slowness leaves out its disk or its database.
    Given target "odd" in domain "b" with 0 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And target "three" in domain "b" with 3 of 7 running and slowness 1.0
    And requests at "odd" take 500 ms on average
    Then the first is not "odd"

  Scenario: A target that fails half of its requests gets none while another is sound
    # Guards against a target that draws requests because it fails fast.
    Given target "broken" in domain "a" with 0 of 7 running and slowness 1.0
    And target "busy" in domain "b" with 8 of 7 running and slowness 2.0
    And "broken" failed 0.6 of its requests
    Then the order is "busy, broken"

  Scenario: A host that fell silent is the last resort
    Given target "silent" in domain "a" with 0 of 7 running and slowness 1.0
    And target "busy" in domain "b" with 8 of 7 running and slowness 2.0
    And "silent" was last heard 0.8 s ago
    Then the order is "busy, silent"

  Scenario: A target that has just started is spared
    Given target "cold" in domain "b" with 0 of 7 running and slowness 1.0
    And target "warm" in domain "b" with 4 of 7 running and slowness 1.0
    And "cold" is warming for 2 s
    Then the order is "warm, cold"

  Scenario: A service whose targets all fail a part is not taken for one that is slow
    # Guards against lookups refused unsent because failures of a service make its answers look late.
    Given target "one" in domain "a" with 1 of 7 running and slowness 1.0
    And target "two" in domain "b" with 1 of 7 running and slowness 1.0
    And "one" failed 0.55 of its requests
    And "two" failed 0.55 of its requests
    Then each is expected to answer within 130 ms

Feature: Where a request goes

  Hosts share their machines with noisy neighbours: for some 300 ms at a time a target works at a
  quarter of its speed. The choice puts speed, pace, waiting work and failures into one expected
  time. All cases are on a clock of their own, without a network.

  Background:
    Given work of 100 ms with an objective of 400 ms, asked for in domain "a"

  Scenario: A slow host is left alone though it is empty
    # Sent by load alone, every second request would take 400 ms on the host that is slow now.
    Given target "slow" in domain "b" with 0 of 7 running and slowness 4.0
    And target "fast" in domain "b" with 3 of 7 running and slowness 1.0
    Then the order is "fast, slow"

  Scenario: A full fast target comes behind a free one of usual speed
    Given target "full" in domain "b" with 9 of 7 running and slowness 1.0
    And target "free" in domain "b" with 2 of 7 running and slowness 1.1
    Then the order is "free, full"

  Scenario: A near target that is good enough goes before a faster far one
    # The caller gains nothing by an answer in 100 ms instead of 130 ms, and each request to
    # another domain is paid for.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 2 of 7 running and slowness 1.2
    Then the order is "near, far"

  Scenario: A near target that is slow now does not hold its domain's callers
    Given target "far" in domain "b" with 2 of 7 running and slowness 1.0
    And target "near" in domain "a" with 0 of 7 running and slowness 4.0
    Then the order is "far, near"

  Scenario: A near target keeps its last slot for who is already on the way
    # Several entry nodes see the same free slot; all but one would be turned away there.
    Given target "far" in domain "b" with 0 of 7 running and slowness 1.0
    And target "near" in domain "a" with 6 of 7 running and slowness 1.0
    Then the order is "far, near"

  Scenario: Requests sent since the last status count
    Given target "one" in domain "b" with 2 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And 4 requests were sent to "one" since its last status
    Then the order is "two, one"

  Scenario: A target that is slow without saying so is found by its pace
    # The target's own figure says nothing of its disk or its database. What its requests took does.
    Given target "odd" in domain "b" with 0 of 7 running and slowness 1.0
    And target "two" in domain "b" with 3 of 7 running and slowness 1.0
    And target "three" in domain "b" with 3 of 7 running and slowness 1.0
    And requests at "odd" take 500 ms on average
    Then the first is not "odd"

  Scenario: A target that fails half of its requests gets none while another is sound
    # Failing fast, it looks empty and quick.
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
    # All targets shed half of what they get. A failure is worth several answers in the choice, but
    # an answer takes as long as ever: held to be late, a lookup with 100 ms left is refused unsent.
    Given target "one" in domain "a" with 1 of 7 running and slowness 1.0
    And target "two" in domain "b" with 1 of 7 running and slowness 1.0
    And "one" failed 0.55 of its requests
    And "two" failed 0.55 of its requests
    Then each is expected to answer within 130 ms

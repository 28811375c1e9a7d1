@fixture.entry_deployment
Feature: The entry node's decisions, tested with separate processes

  Scenario: The slower attempt of a hedged lookup releases its slot
    # Lookups at a target that hangs are hedged to the other target. If the cancelled attempts kept
    # their slots, the target would stay full and its calls would end at their deadlines.
    Given node e1 has measured the usual time of lookups
    When target t1 hangs and 30 lookups are sent to node e1
    Then all of them are answered with 200
    And node e1 has hedged a lookup
    And no slot of node t1 is taken

  Scenario: A lookup that fails at once is retried at another target
    # Target t1 answers every call with 503. As a failing target always looks idle, between a sixth
    # and all of the lookups would fail; instead each failed one is retried at t2.
    Given target t1 fails every call
    When 30 lookups are sent to node t3
    Then all of them are answered with 200
    And node t3 has retried 1 to 9 of them

  Scenario: The number of peer links returns below its limit without losing a call
    # Node t3 has a limit of two links, and three other nodes call it. Above the limit it asks the
    # peer of the longest idle link to close it; closing it at once would lose calls in transit.
    When nodes e1, t1 and t2 in turn send 20 lookups each for single
    Then all of them are answered with 200
    And node t3 has at most 2 links after some time

Feature: Stopping nodes, and callers that go away, with real processes

  @fixture.edge_deployment
  Scenario: A node stops while its own caller waits
    # The caller's request is at a target when its entry node is told to stop. Ended at once,
    # the caller would see a broken connection and not know whether its order ran.
    Given a caller at a1 waits for an order that takes 1500 ms
    When node a1 is told to stop
    Then the caller gets its answer and its connection closes
    And the process node-a1 ends with status 0

  @fixture.edge_deployment
  Scenario: A target's node stops while a peer's caller waits
    # The same at the other end of the link, where the stopping node knows of no caller. The order
    # takes longer than the peer is given to close its link.
    Given a caller at a1 waits for an order that takes 5000 ms
    When node c1 is told to stop
    Then the caller gets its answer
    And the process node-c1 ends with status 0

  @fixture.edge_deployment
  Scenario: Calls that cross a stop
    # Calls go out to two targets without a pause while the node of one is told to stop. Some
    # are on the link when it says goodbye; none may be lost with it.
    Given callers at a1 send lookups for counter without a pause
    When node b1 is told to stop
    Then the process node-b1 ends with status 0
    And every lookup was answered 200

  @fixture.edge_deployment
  Scenario: A second signal ends a node at once
    Given a caller at a1 waits for an order that takes 20000 ms
    When node a1 is told to stop
    And node a1 is told to stop again once it is stopping
    Then the process node-a1 ends with status 1

  @fixture.edge_deployment
  Scenario: Idle callers do not hold a stop up
    Given a caller is connected to a1 and idle
    When node a1 is told to stop
    Then the process node-a1 ends with status 0
    And the idle caller sees its connection closed

  @fixture.edge_deployment
  Scenario Outline: A caller that goes away frees its slot
    # The target has one slot. The caller of a call that takes a minute goes away; unless the
    # cancellation reaches the target, nobody else is served for that minute.
    Given a caller at a1 waits for an order that takes 60000 ms
    When the caller goes away by <way>
    Then the one slot of orders serves another caller again

    Examples:
      | way   |
      | close |
      | reset |

  @fixture.edge_deployment
  Scenario: More callers than a node takes
    Given 5 callers are connected to b1, which takes 5
    Then the next caller is refused at once with code 107
    When one caller leaves b1
    Then another caller of b1 is served

  @fixture.edge_deployment
  Scenario: Callers that left are forgotten
    # Counted for ever, closed connections would fill the limit and the node would refuse all.
    When 20 callers come to b1 and leave one after the other
    Then another caller of b1 is served

  @fixture.edge_deployment
  Scenario: A refused upload is told why
    # The caller sends on while the node has already refused. Closed at once, the kernel's reset
    # would overtake the refusal.
    When a caller uploads 3 MB to a1 where 1 MB is allowed
    Then the upload is refused with 413 and code 103

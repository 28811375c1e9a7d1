Feature: Stopping nodes and disconnecting callers, with real processes

  @fixture.edge_deployment
  Scenario: A node stops while one of its callers waits
    # Guards against a caller that sees a broken connection and does not know whether its order ran.
    # The request is at a target when its entry node is told to stop.
    Given a caller at a1 waits for an order that takes 1500 ms
    When node a1 is told to stop
    Then the caller gets its response and its connection closes
    And the process node-a1 ends with status 0

  @fixture.edge_deployment
  Scenario: A target's node stops while a peer's caller waits
    # Guards against the same loss at the other end of the link, where the stopping node does not
    # know the caller. The order takes longer than the peer is given to close its link.
    Given a caller at a1 waits for an order that takes 5000 ms
    When node c1 is told to stop
    Then the caller gets its response
    And the process node-c1 ends with status 0

  @fixture.edge_deployment
  Scenario: Calls in flight while a node stops
    # Guards against calls that are lost with the link of a stopping node. Calls go out to two
    # targets continuously while the node of one is told to stop, so some are on the link when it
    # announces that it leaves.
    Given callers at a1 send lookups for counter continuously
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
  Scenario: Idle callers do not delay a stop
    Given a caller is connected to a1 and idle
    When node a1 is told to stop
    Then the process node-a1 ends with status 0
    And the idle caller sees its connection closed

  @fixture.edge_deployment
  Scenario Outline: A caller that disconnects frees its slot
    # Guards against a slot that stays taken after its caller has disconnected. The target has one
    # slot, and the call takes a minute; unless the cancellation reaches the target, nobody else is
    # served for that minute.
    Given a caller at a1 waits for an order that takes 60000 ms
    When the caller disconnects by <way>
    Then the one slot of orders serves another caller again

    Examples:
      | way   |
      | close |
      | reset |

  @fixture.edge_deployment
  Scenario: A node refuses callers beyond its connection limit
    Given 5 callers are connected to b1, which allows 5
    Then the next caller is refused at once with code 107
    When one caller disconnects from b1
    Then another caller of b1 is served

  @fixture.edge_deployment
  Scenario: Closed connections of callers are not counted
    # Guards against closed connections that fill the limit until the node refuses all callers.
    When 20 callers connect to b1 and disconnect one after the other
    Then another caller of b1 is served

  @fixture.edge_deployment
  Scenario: The caller of a refused upload gets the refusal
    # The caller keeps sending after the node has refused. If the node closed the connection at
    # once, the kernel would send a reset that overtakes the refusal.
    When a caller uploads 3 MB to a1 where 1 MB is allowed
    Then the upload is refused with 413 and code 103

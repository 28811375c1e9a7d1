Feature: Links between nodes

  Scenario: A peer that sends go-away gets no more calls, and its answers are still received
    # The peer is being stopped while it runs a call of this node. New calls must go elsewhere and
    # the answer to the running one must arrive. Only then may the link close, because its close
    # tells the peer that no more calls are on their way.
    Given a link between two nodes
    When call 1 is sent over the link
    And the serving side sends go-away
    Then the link accepts no more calls but its connection is open
    When the serving side answers call 1 with "one"
    Then call 1 got "one"
    And the link's connection is closed

  Scenario: An idle link closes on go-away
    Given a link between two nodes
    When the serving side sends go-away
    Then the link's connection is closed

  Scenario: Answers that arrive out of order reach their own calls
    Given a link between two nodes
    When call 1 is sent over the link
    And call 2 is sent over the link
    And the serving side answers call 2 with "two"
    And the serving side answers call 1 with "one"
    Then call 1 got "one"
    And call 2 got "two"

  Scenario: The answer to a cancelled call is dropped
    Given a link between two nodes
    When call 1 is sent over the link
    And call 1 is cancelled before the cancellation arrives
    And the serving side answers call 1 with "one"
    And call 2 is sent over the link
    And the serving side answers call 2 with "two"
    Then call 1 got nothing
    And call 2 got "two"

  Scenario: A lost link fails every call, even if the handler of the first one raises
    # The handler of the first call's loss raises. The other calls must still be failed, or their
    # callers wait until their deadlines.
    Given a link between two nodes
    When a call whose handler fails is sent over the link
    And call 1 is sent over the link
    And the link is lost
    Then call 1 was refused with code 305

  Scenario: An internal error at the target's node refuses its own call only
    Given a link to a node whose admission controller fails
    When call 1 is sent over the link
    Then call 1 was refused with code 109
    And the link accepts calls

  Scenario: An answer too large for a link refuses its own call only
    Given a link between two nodes
    When call 1 is sent over the link
    And the serving side answers call 1 with 32 MB
    Then call 1 was refused with code 110
    And the link accepts calls

  Scenario: A silent link is closed while its calls still have time
    # The connection hangs without a reset. Every call on it, and every later one, would wait for
    # its own deadline. Failed early, calls that may be repeated can still go elsewhere.
    Given a link that tolerates 0.6 s of silence
    When call 1 is sent over the link
    And the connection falls silent
    And call 2 is sent over the link
    And 0.3 s pass
    Then call 1 was refused with code 305
    And call 2 was refused with code 305
    And the link's connection is closed

  Scenario: A link whose peer runs a long call is not closed
    # Nothing but the answers to pings arrives for ten seconds.
    Given a link that tolerates 0.6 s of silence
    When call 1 is sent over the link
    And 10.0 s pass
    Then call 1 got nothing
    And the link accepts calls

  Scenario: Calls in flight survive lost packets while other traffic shows that the host is alive
    # Several lost packets in a row stall the connection for a second and a half. The order that
    # runs there is not failed; new calls do not wait behind it.
    Given a link that tolerates 0.6 s of silence, to a host known to be alive
    When call 1 is sent over the link
    And the connection falls silent
    And 1.5 s pass
    Then call 1 got nothing
    And the link accepts no more calls but its connection is open
    When the connection delivers again
    And the serving side answers call 1 with "one"
    Then call 1 got "one"

  Scenario: A host is probed by other means before its calls are failed
    # Packets of a saturated link arrive late, and in large systems a host sends its status only
    # once a second. A host wrongly taken for dead would run an order whose caller was told that it
    # failed.
    Given a link that tolerates 0.6 s of silence, to a host that answers probes
    When call 1 is sent over the link
    And the connection falls silent
    And 1.5 s pass
    Then call 1 got nothing
    When the connection delivers again
    And the serving side answers call 1 with "one"
    Then call 1 got "one"

  Scenario: A small message does not wait for a large one
    # A body of 3 MB goes over a link that takes 64 kB at a time. The lookup that is sent after it
    # arrives after one or two fragments.
    Given a slow link between two nodes
    When call 1 with a body of 3 MB is sent over the link
    And call 2 is sent after it
    And the slow link has delivered 200 KB
    Then the target's node got the bodies of calls 2
    When the slow link has delivered 4000 KB
    Then the target's node got the bodies of calls 2 and 1

  Scenario: A large request that is cancelled during its transfer never reaches a target
    Given a slow link between two nodes
    When call 1 with a body of 3 MB is sent over the link
    And the slow link has delivered 200 KB
    And call 1 is cancelled
    And the slow link has delivered 4000 KB
    Then the target's node got nothing
    And the link accepts calls

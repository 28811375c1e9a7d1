Feature: Links between nodes

  Scenario: A peer that says goodbye gets no more calls, and its answers still count
    # The peer is being stopped and has a call of ours. New calls must go elsewhere; the answer
    # to the old one must come through, and only then may the link close, for its close tells
    # the peer that nothing more is on its way.
    Given a link between two nodes
    When call 1 is sent over the link
    And the serving side says goodbye
    Then the link takes no more calls but its connection is open
    When the serving side answers call 1 with "one"
    Then call 1 got "one"
    And the link's connection is closed

  Scenario: An idle link closes on a goodbye
    Given a link between two nodes
    When the serving side says goodbye
    Then the link's connection is closed

  Scenario: Answers out of order reach their own calls
    Given a link between two nodes
    When call 1 is sent over the link
    And call 2 is sent over the link
    And the serving side answers call 2 with "two"
    And the serving side answers call 1 with "one"
    Then call 1 got "one"
    And call 2 got "two"

  Scenario: The answer to a cancelled call reaches nobody
    Given a link between two nodes
    When call 1 is sent over the link
    And call 1 is cancelled before the cancellation arrives
    And the serving side answers call 1 with "one"
    And call 2 is sent over the link
    And the serving side answers call 2 with "two"
    Then call 1 got nothing
    And call 2 got "two"

  Scenario: A lost link tells every call, whatever becomes of the first
    # The code that takes the first call's loss raises. The others must still be told, or their
    # callers wait until their deadlines.
    Given a link between two nodes
    When a call whose taker fails is sent over the link
    And call 1 is sent over the link
    And the link is lost
    Then call 1 was refused with code 305

  Scenario: A fault at the target's node refuses the one call
    Given a link to a node whose gatekeeper fails
    When call 1 is sent over the link
    Then call 1 was refused with code 109
    And the link takes calls

  Scenario: An answer too large for a link refuses its own call only
    Given a link between two nodes
    When call 1 is sent over the link
    And the serving side answers call 1 with 32 MB
    Then call 1 was refused with code 110
    And the link takes calls

  Scenario: A link that fell silent is given up while its calls still have time
    # The connection hangs without a reset. Each call would wait for its own deadline, and all that
    # come after it too; the callers are told in time to go elsewhere where they may.
    Given a link that bears 0.6 s of silence
    When call 1 is sent over the link
    And the connection falls silent
    And call 2 is sent over the link
    And 0.3 s pass
    Then call 1 was refused with code 305
    And call 2 was refused with code 305
    And the link's connection is closed

  Scenario: A link whose peer has long work is not given up
    # Nothing comes for ten seconds but the answers to pings.
    Given a link that bears 0.6 s of silence
    When call 1 is sent over the link
    And 10.0 s pass
    Then call 1 got nothing
    And the link takes calls

  Scenario: Calls under way outlast lost packets while their host is heard otherwise
    # The connection is held up for a second and a half by packets lost in a row. The order that
    # runs there is not broken off; new calls do not wait behind it.
    Given a link that bears 0.6 s of silence, to a host that is heard otherwise
    When call 1 is sent over the link
    And the connection falls silent
    And 1.5 s pass
    Then call 1 got nothing
    And the link takes no more calls but its connection is open
    When the connection delivers again
    And the serving side answers call 1 with "one"
    Then call 1 got "one"

  Scenario: A host is asked on another way before its calls are given up
    # Packets of a full link come late, and in large systems a host repeats its status only once a
    # second. Taken for gone, it would run an order whose caller has been told that it failed.
    Given a link that bears 0.6 s of silence, to a host that is heard when it is asked
    When call 1 is sent over the link
    And the connection falls silent
    And 1.5 s pass
    Then call 1 got nothing
    When the connection delivers again
    And the serving side answers call 1 with "one"
    Then call 1 got "one"

  Scenario: A small message does not wait for a large one
    # A body of 3 MB goes over a link that takes 64 kB at a time. The lookup that is sent behind it
    # is there after a piece or two.
    Given a slow link between two nodes
    When call 1 with a body of 3 MB is sent over the link
    And call 2 is sent behind it
    And the slow link has delivered 200 KB
    Then the target's node got the bodies of calls 2
    When the slow link has delivered 4000 KB
    Then the target's node got the bodies of calls 2 and 1

  Scenario: A large request that is cancelled on its way never reaches a target
    Given a slow link between two nodes
    When call 1 with a body of 3 MB is sent over the link
    And the slow link has delivered 200 KB
    And call 1 is cancelled
    And the slow link has delivered 4000 KB
    Then the target's node got nothing
    And the link takes calls

@fixture.owned_deployment
Feature: A confirmed configuration is in force everywhere and never falls back

  Scenario: Operators race with conflicting intents
    # Six operators plan on one version and confirm at once through all nodes. If two of them
    # won, the later would undo what the earlier had read as confirmed. The table's condition
    # on the head row lets one through; the others get CONFLICT and a plan on the new version.
    Given 6 operators have planned different weights of counter/b1 on version 1
    When all of them confirm at once
    Then one wins with version 2 and the others get CONFLICT with a plan on version 2
    When one of the losers confirms its fresh plan
    Then the confirm says version 3

  Scenario: A confirm whose answer was lost is found by reading back
    # The table writes the head row and hangs up. Taken for a failure, the operator would plan
    # again what is in force; the node reads back and finds its plan's digest in the head.
    Given flock has planned at a1 that counter/b1 leaves
    And the platform loses the answer of 1 write of the head
    When flock confirms the plan at a1
    Then the confirm says version 2
    And the history tells 2 versions

  Scenario: A confirm whose write takes effect late
    # The table holds the write beyond the node's patience. The node sends it again, it wins,
    # and a later plan wins too; then the first write arrives. It still expects version 1.
    Given flock has planned at a1 that counter/b1 leaves
    And the platform holds 1 write of the head
    When flock confirms the plan at a1
    Then the confirm says version 2
    When flock has had 1 more versions confirmed
    And the platform lets go of the write
    Then version 3 is the newest

  Scenario: An outage of the platform stops changes, not lookups
    Given flock has planned at a1 that counter/b1 leaves
    And the platform is down
    When flock confirms the plan at a1
    Then it is refused with 503 and code 409
    And calls to counter through every node are served
    When the platform is up again
    And the confirm is sent again until the platform answers
    Then the confirm says version 2

  Scenario: A node that was frozen while its target was told to leave
    # Node b1 stops. Its target is told to leave. Calls wait in b1's sockets and are the first
    # thing that it reads when it wakes: by what it knew, its own target takes work. It must
    # refuse them or send them elsewhere until it has proved its version.
    When node b1 is frozen for longer than its limit with calls waiting for counter
    And flock has counter/b1 leave meanwhile
    And node b1 wakes
    Then no waiting call was run by b1
    And version 2 comes into force everywhere and counter/b1 takes no work

  Scenario: A node that starts in an outage takes the version of peers in two domains
    # The new process knows nothing and the platform is silent. By the empty configuration it
    # would send calls to the leaving target. Two peers in two failure domains are enough.
    Given flock has had counter/b1 leave
    And the platform is down
    When node a1 is killed and starts again with b1 and c1 as contacts
    Then a1 becomes ready with version 2 without the platform

  Scenario: A node that starts in an outage and finds one failure domain only
    # One domain alone may be cut off from the rest and hold an older version as one.
    Given flock has had counter/b1 leave
    And the platform is down
    When node c1 is killed
    And node a1 is killed and starts again with b1 and c1 as contacts
    Then a1 says that it is not ready because peers in 1 of 2 failure domains answer
    And a call through a1 is refused with code 207
    When the platform is up again
    Then a1 becomes ready with version 2

  Scenario: A node that is cut off from everything stops to take calls, and comes back
    When the platform is down and nodes a1 and b1 are frozen
    Then c1 comes to refuse calls because nothing answers
    When the platform is up again
    Then c1 becomes ready with version 1

  Scenario: A target leaves under load while some nodes have not heard
    # Callers at every node send lookups without a pause. Node c1 is frozen for a moment when
    # the plan is confirmed and wakes with the old version; b1's own node has closed the door.
    When lookups for counter run through every node
    And flock has counter/b1 leave while c1 is frozen for a moment
    Then counter/b1 gets no call later than 3 seconds after the confirm
    And each call was served or truly not run

  Scenario: The targets of a failure domain leave under load
    # Guards against calls to an evacuated failure domain from nodes that have not heard.
    When lookups for counter run through every node
    And flock has counter's targets in fd-b leave while c1 is frozen for a moment
    Then counter/b1 gets no call later than 3 seconds after the confirm
    And each call was served or truly not run
    When flock has counter's targets in fd-b take work again
    Then counter/b1 gets calls again once it has announced itself

  Scenario: The leaving target's own node closes the door to peers that have not heard
    # A peer that is cut off from the news goes on sending calls. Only the node beside the
    # target can keep them out, and say for sure that they did not run.
    Given flock has had counter/b1 leave
    When a peer that has not heard sends a call for counter to b1
    Then the peer is told 205 and NOT_RUN

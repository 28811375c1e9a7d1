@fixture.owned_deployment
Feature: A confirmed configuration comes into force on all nodes and is never replaced by an older one

  Scenario: Of several operators who confirm conflicting plans at once, one succeeds
    # Six operators plan on the same version and confirm at once through all nodes. If two of them
    # succeeded, the later one would silently undo the change that the earlier one saw confirmed. The
    # conditional write of the head row lets one succeed; the others get CONFLICT and a fresh plan.
    Given 6 operators have planned different weights of counter/b1 on version 1
    When all of them confirm at once
    Then one succeeds with version 2 and the others get CONFLICT with a plan on version 2
    When one of the others confirms its fresh plan
    Then the confirmation reports version 3

  Scenario: A confirmation whose write got no answer is recognized by reading the head back
    # The table writes the head row and closes the connection. If that counted as a failure, the
    # operator would plan a change that is already in force. The node reads the head row and finds
    # the digest of its plan in it.
    Given flock has planned at a1 that counter/b1 leaves
    And the platform loses the answer of 1 write of the head
    When flock confirms the plan at a1
    Then the confirmation reports version 2
    And the history lists 2 versions

  Scenario: A delayed write of a confirmation does not overwrite a newer version
    # The table delays the write beyond the node's timeout. The node repeats it with success, and a
    # later plan is confirmed as well. Then the first write, which expects version 1, takes effect.
    Given flock has planned at a1 that counter/b1 leaves
    And the platform delays 1 write of the head
    When flock confirms the plan at a1
    Then the confirmation reports version 2
    When flock has had 1 more versions confirmed
    And the platform releases the delayed write
    Then version 3 is the newest

  Scenario: In an outage of the platform changes are refused and lookups are served
    Given flock has planned at a1 that counter/b1 leaves
    And the platform is down
    When flock confirms the plan at a1
    Then it is refused with 503 and code 409
    And calls to counter through every node are served
    When the platform is up again
    And the confirmation is repeated until the platform answers
    Then the confirmation reports version 2

  Scenario: A node that was frozen while its target left does not run calls there after it resumes
    # Node b1 is suspended, and its target leaves meanwhile. When b1 resumes, it reads the calls
    # waiting in its sockets first, while its own configuration still shows its target as accepting.
    # It must refuse them or send them to other targets until it has confirmed its version.
    When node b1 is frozen for longer than its limit with calls waiting for counter
    And flock makes counter/b1 leave meanwhile
    And node b1 resumes
    Then no waiting call was run by b1
    And version 2 comes into force everywhere and counter/b1 gets no calls

  Scenario: A node that starts in an outage takes the version of peers in two failure domains
    # The new process has no configuration and the platform doesn't answer. With an empty
    # configuration it would send calls to the leaving target. The versions of two peers in two
    # failure domains are enough for it to become ready.
    Given flock has made counter/b1 leave
    And the platform is down
    When node a1 is killed and starts again with b1 and c1 as contacts
    Then a1 becomes ready with version 2 without the platform

  Scenario: A node that starts in an outage is not ready with peers of one failure domain only
    # A single failure domain may be partitioned from the others and all its nodes hold an older
    # version.
    Given flock has made counter/b1 leave
    And the platform is down
    When node c1 is killed
    And node a1 is killed and starts again with b1 and c1 as contacts
    Then a1 reports that it is not ready because peers in 1 of 2 failure domains answer
    And a call through a1 is refused with code 207
    When the platform is up again
    Then a1 becomes ready with version 2

  Scenario: A node that reaches neither platform nor peers refuses calls until it does again
    When the platform is down and nodes a1 and b1 are frozen
    Then c1 starts to refuse calls because nothing answers
    When the platform is up again
    Then c1 becomes ready with version 1

  Scenario: A target leaves under load while one node has not learned of it
    # Callers send lookups through every node without a pause. Node c1 is suspended for a moment when
    # the plan is confirmed and resumes with the old version. Node b1 already refuses calls then.
    When lookups for counter run through every node
    And flock makes counter/b1 leave while c1 is frozen for a moment
    Then counter/b1 gets no call later than 3 seconds after the confirmation
    And each call was served or refused with NOT_RUN

  Scenario: The targets of a failure domain leave under load
    # Guards against calls to an evacuated failure domain from nodes that have not learned of it.
    When lookups for counter run through every node
    And flock makes counter's targets in fd-b leave while c1 is frozen for a moment
    Then counter/b1 gets no call later than 3 seconds after the confirmation
    And each call was served or refused with NOT_RUN
    When flock makes counter's targets in fd-b accept calls again
    Then counter/b1 gets calls again once it has announced itself

  Scenario: The leaving target's own node refuses calls from peers with an older version
    # A peer that is cut off from the new version continues to send calls. Only the target's own node
    # can refuse them, and tell for sure that they did not run.
    Given flock has made counter/b1 leave
    When a peer with an older version sends a call for counter to b1
    Then the peer is told 205 and NOT_RUN

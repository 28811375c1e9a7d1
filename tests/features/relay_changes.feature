@fixture.fresh_relay_deployment
Feature: Changes and outages on the users' platform

  The same three hosts, started anew for each scenario.

  Scenario: A new version is in force at every node within moments, and never goes back
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"
    When version 8 of before is written
    Then after 1 s every node still sends "/look/" to "orders"

  Scenario: A node that the store turns away learns a new version from the others
    Given the store turns "a" away
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"

  Scenario: A node restarted while the store is away serves the newest version
    # Guards against a restarted node without a configuration while the store is away.
    When version 9 moves "/look/" to "orders"
    And within 2 s every node sends "/look/" to "orders"
    And the store is down
    And the node of "b" is killed and started again
    Then "b" is ready within 3 s
    And within 1 s every node sends "/look/" to "orders"

  Scenario: A broken document changes nothing
    When a document that cannot be read is written
    Then after 1 s "/look/" still goes to "counter"

  Scenario: Nobody is served before a configuration is known, and nobody is told "no such route"
    Given the store is down and every node is started again
    Then "a" is not ready and answers 503 with Retry-After
    When the store is back
    Then every node is ready within 3 s

  Scenario: A leaving target gets nothing after it was told so
    # Guards against work that is sent to a target after its leaving was acknowledged.
    Given callers at "a, b, c" send "GET /look/x?work_ms=20" all the time
    When the target of "a" announces that it leaves
    Then from its acknowledgement on it starts nothing new
    And no caller is told of a failure

  Scenario: A node restarted beside a leaving target gives it no work
    When the target of "a" announces that it leaves
    And the node of "a" is killed and started again
    And 30 requests "GET /look/x" are sent by "b"
    Then the target of "a" ran none of those

  Scenario: A node restarted beside a living target serves it again
    When the node of "c" is killed and started again
    Then "c" is ready within 3 s
    And a caller at "a" is served "POST /order/x" within 2 s

  Scenario: A node that is told to stop serves who still comes, and cuts off nobody
    # Guards against callers that are cut off before they know that the node is leaving.
    Given callers at "a" send "GET /look/x?work_ms=20" all the time
    When the node of "a" is told to stop
    Then it says at once that it is not ready
    And callers that come within 2 s are all served
    And it has ended within 6 s

  Scenario: The only target of a service gets work while its node stops
    # Guards against a rolling restart that takes a service away for as long as its nodes stop.
    When the node of "c" is told to stop
    Then for 1.5 s each "POST /order/x" at "a" is served
    And it has ended within 6 s

  Scenario: An evacuated failure domain gets no requests, whoever restarts and though the store is away
    # Guards against requests to an evacuated domain from a node that has forgotten the evacuation.
    When failure domain "fd-b" is evacuated
    Then within 3 s the target of "b" is closed
    And 20 requests "GET /look/x" sent by "a, b, c" are served, none by the target of "b"
    When the store is down
    And the node of "b" is killed and started again
    Then "b" is ready within 3 s
    And 20 requests "GET /look/x" sent by "a, b, c" are served, none by the target of "b"
    When the store is back
    And the evacuation of "fd-b" is taken back
    Then within 3 s the target of "b" is open

  Scenario: All failure domains of a service are evacuated
    # Guards against requests that wait for a target which operators have taken away.
    When failure domain "fd-a" is evacuated
    Then within 3 s an order at "b" is answered 503 with Retry-After

  Scenario: A store that forgets its history is read anew
    Given the store has forgotten its history
    When version 9 moves "/look/" to "orders"
    Then within 3 s every node sends "/look/" to "orders"

  Scenario: A change that no watch hears of is in force all the same
    # Guards against a change that is not in force because a watch of the store reports nothing.
    Given the watches of the store are deaf
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"

  Scenario: A target that crashes takes no new orders until it is back
    When the target of "c" is killed
    Then within 1 s an order at "a" is answered 503 with Retry-After
    When the target of "c" is started again
    Then a caller at "a" is served "POST /order/x" within 3 s

  Scenario: A request that crashes its targets is refused before it has ended them all
    # Guards against a request that crashes one target after the other.
    When "POST /order/x?crash=1" is sent by "a" and again each time the target of "c" is back
    Then after the second crash it is refused 503 and the target stays up
    And a caller at "a" is served "POST /order/x" within 2 s

  Scenario: Callers that keep coming to a stopping node are never cut off midway
    # Guards against a request that was read by a stopping node and is then cut off.
    Given callers at "a" send "GET /look/x?work_ms=200" all the time
    When the node of "a" is told to stop
    Then it has ended within 6 s
    And every request that ran was answered

  Scenario: Settings that change without a signal are taken over
    When the settings of "a" get "terms.bounds.retry_slack=90"
    Then within 5 s the log of "a" says that they were read again

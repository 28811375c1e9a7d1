@fixture.fresh_relay_deployment
Feature: Configuration changes, restarts and outages on the users' platform

  The three hosts of relay_path.feature, started anew for each scenario.

  Scenario: A new version takes effect at every node within seconds and is never replaced by an older one
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"
    When the older version 8 is written
    Then after 1 s every node still sends "/look/" to "orders"

  Scenario: A node that the store refuses gets a new version from the other nodes
    Given the store refuses the requests of "a"
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"

  Scenario: A node restarted during a store outage serves the newest version
    # Guards against a node that has no configuration after a restart during a store outage.
    When version 9 moves "/look/" to "orders"
    And within 2 s every node sends "/look/" to "orders"
    And the store is down
    And the node of "b" is killed and started again
    Then "b" is ready within 3 s
    And within 1 s every node sends "/look/" to "orders"

  Scenario: A malformed configuration document is ignored
    When a malformed document is written
    Then after 1 s "/look/" still goes to "counter"

  Scenario: Before a configuration is known requests are refused, but not as "no such route"
    Given the store is down and every node is started again
    Then "a" is not ready and answers 503 with Retry-After
    When the store is back
    Then every node is ready within 3 s

  Scenario: A leaving target gets no requests once its announcement is acknowledged
    # Guards against requests that are sent to a target after its node has acknowledged that it
    # leaves.
    Given callers at "a, b, c" send "GET /look/x?work_ms=20" continuously
    When the target of "a" announces that it leaves
    Then after the acknowledgement it starts no request
    And no request has failed

  Scenario: A node restarted beside a leaving target sends it no requests
    When the target of "a" announces that it leaves
    And the node of "a" is killed and started again
    And 30 requests "GET /look/x" are sent by "b"
    Then the target of "a" ran none of them

  Scenario: A node restarted beside a running target sends it requests again
    When the node of "c" is killed and started again
    Then "c" is ready within 3 s
    And a caller at "a" is served "POST /order/x" within 2 s

  Scenario: A stopping node serves requests that still arrive
    # Guards against callers whose requests are cut off before they know that the node is leaving.
    Given callers at "a" send "GET /look/x?work_ms=20" continuously
    When the node of "a" is told to stop
    Then it reports at once that it is not ready
    And all requests sent within 2 s are served
    And its process has ended within 6 s

  Scenario: The only target of a service gets requests while its node stops
    # Guards against a rolling restart that makes a service unavailable while its nodes stop.
    When the node of "c" is told to stop
    Then for 1.5 s each "POST /order/x" at "a" is served
    And its process has ended within 6 s

  Scenario: An evacuated failure domain gets no requests, even after a restart during a store outage
    # Guards against requests to an evacuated domain from a restarted node that has lost the
    # evacuation.
    When failure domain "fd-b" is evacuated
    Then within 3 s the target of "b" is evacuated
    And 20 requests "GET /look/x" sent by "a, b, c" are served, none by the target of "b"
    When the store is down
    And the node of "b" is killed and started again
    Then "b" is ready within 3 s
    And 20 requests "GET /look/x" sent by "a, b, c" are served, none by the target of "b"
    When the store is back
    And the evacuation of "fd-b" is reverted
    Then within 3 s the target of "b" is in use

  Scenario: Requests are refused while all failure domains of their service are evacuated
    # Guards against requests that wait for a target that operators have evacuated.
    When failure domain "fd-a" is evacuated
    Then within 3 s an order at "b" is answered 503 with Retry-After

  Scenario: The rows are read again after the store has discarded its history
    Given the store has discarded its history
    When version 9 moves "/look/" to "orders"
    Then within 3 s every node sends "/look/" to "orders"

  Scenario: A change that no watch reports takes effect all the same
    # Guards against a change that is missed because a watch of the store reports nothing.
    Given the watches of the store report nothing
    When version 9 moves "/look/" to "orders"
    Then within 2 s every node sends "/look/" to "orders"

  Scenario: A crashed target gets no orders until it runs again
    When the target of "c" is killed
    Then within 1 s an order at "a" is answered 503 with Retry-After
    When the target of "c" is started again
    Then a caller at "a" is served "POST /order/x" within 3 s

  Scenario: A request that crashes its targets is refused after the second crash
    # Guards against a request that crashes one target after the other.
    When "POST /order/x?crash=1" is sent by "a" and again whenever the target of "c" has restarted
    Then after the second crash it is refused 503 and the target stays up
    And a caller at "a" is served "POST /order/x" within 2 s

  Scenario: A stopping node cuts off no request that it has read
    # Guards against a request that a stopping node has read and then cuts off.
    Given callers at "a" send "GET /look/x?work_ms=200" continuously
    When the node of "a" is told to stop
    Then its process has ended within 6 s
    And every request that ran was answered

  Scenario: A node that is told to reload its settings while it starts goes on starting
    # Guards against a node that ends because the signal comes before it can handle it.
    When the node of "a" is started again and gets SIGHUP before it has read its settings
    Then "a" is ready within 3 s

  Scenario: Changed settings are reloaded without a signal
    When the settings of "a" get the line "terms.bounds.retry_slack=90"
    Then within 5 s the log of "a" reports a reload

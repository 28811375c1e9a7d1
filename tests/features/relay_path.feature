@fixture.relay_deployment
Feature: The whole path on the users' platform

  Three hosts in two failure domains: "a" and "b" run counter, "c" runs orders. Nodes find each
  other by rows of the store, learn routes from the operators' document there, and hear from the
  target beside them. Every process is a real one.

  Scenario: A request reaches a target as its caller sent it, with what the target expects
    When a caller at "c" sends "GET /look/tag?work_ms=1"
    Then it is answered 200 by a target of "counter"
    And the target saw its id, the caller's service "orders" and at most 2000 ms left

  Scenario: A caller cannot pass for another service or choose an instance
    When with "Caller: forged" and "Expect-Instance: i-no" a caller at "c" sends "GET /look/x"
    Then it is answered 200 by a target of "counter"
    And the target saw its id, the caller's service "orders" and at most 2000 ms left

  Scenario: What no route matches is answered 404, by every node
    When callers at "a, b, c" send "GET /nowhere/x"
    Then all are answered 404

  Scenario: An order whose target breaks off is not run again, and is not called "not run"
    # Guards against an order that runs twice because its answer was lost.
    When a caller at "a" sends "POST /order/x?cut=1"
    Then it is answered 502 without Retry-After
    And it ran once

  Scenario: A lookup whose target breaks off goes on to another one
    # Guards against a lookup that fails although another target could answer it.
    When the target breaks off while it runs "GET /look/x?cut=1" of a caller at "c"
    Then it ran at two targets

  Scenario: An answer that belongs to no request reaches no caller
    # Guards against a second answer on a kept connection that reaches the next caller.
    When the "GET /look/x?extra=1" of a caller at "a" is followed by 10 others
    Then each gets the answer to its own request

  Scenario: The first of two answers to a request is the one that its caller gets
    # Guards against a second answer that replaces the first one when both come in one read.
    When the "GET /look/x?twice=1" of a caller at "a" is followed by 10 others
    Then each gets the answer to its own request

  Scenario: A caller that leaves takes its work along
    When after 0.2 s a caller at "a" leaves its "GET /look/x?work_ms=1500"
    Then the target drops the work within 0.5 s

  Scenario: A request that its target never answers ends at the route's time
    When a caller at "c" sends "POST /order/x?mute=1"
    Then it is answered 504 after 0.9 to 1.4 s

  Scenario: Requests beyond the last slot are turned away or wait, and none is lost
    # Guards against callers that get no answer when all slots are taken.
    When 40 callers at "a" send "GET /look/x?work_ms=100" at once
    Then each is answered 200, or 503 with Retry-After
    And no refused one ran

  Scenario: A malformed request harms nobody behind it
    When "a" is sent the malformed requests of the list
    Then each is answered 4xx or its connection is closed
    And nothing of them reached a target

  Scenario: A malformed heartbeat names no target
    When "a" gets heartbeats with wrong fields
    Then each is answered 400
    And a caller at "c" is still served "GET /look/x"

  Scenario: Counters and latency histograms can be read
    When a caller at "c" sends "GET /look/x"
    And the metrics of "c" are read
    Then they count the request by route and outcome
    And they hold a latency histogram, the configuration's version and calls to the store

  Scenario: Each decision about a request can be found in the logs by its id
    When a caller at "a" sends "POST /order/x?cut=1"
    Then the log of "a" says of it that it was refused with 502 and why

  Scenario: A lookup that fails at each target gets the failure, not "not run"
    # Guards against an untrue "not run" for a lookup that ran and failed everywhere.
    When a caller at "c" sends "GET /look/x?fail=500"
    Then it is answered 500 without Retry-After
    And it ran at two targets

  Scenario: A target that says 503 of an order without vouching that it did not run
    # Guards against an order that its caller sends again after a 503 of its target.
    When a caller at "a" sends "POST /order/x?fail=503"
    Then it is answered 502 without Retry-After
    And it ran once

  Scenario: A large body goes to a target on another host and back unharmed
    When a caller at "c" sends a body of 3 MB to "PUT /look/large?echo=1"
    Then it gets the same body back

  Scenario: Requests sent ahead on one connection are each answered, in order
    # Guards against an answer out of turn, which its caller would take for another request's.
    When a caller at "c" sends "GET /look/1?work_ms=300, GET /look/2?work_ms=1, POST /order/3, GET /look/4" ahead
    Then it gets the answers to "/look/1, /look/2, /order/3, /look/4" in this order

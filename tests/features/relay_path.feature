@fixture.relay_deployment
Feature: Requests from caller to target on the users' platform

  Three hosts in two failure domains: "a" and "b" run counter, "c" runs orders. Nodes find each
  other through rows in the store, read routes from the operators' document there, and get
  heartbeats from the target beside them. All processes are real.

  Scenario: A request reaches a target unchanged and with the headers that the target expects
    When a caller at "c" sends "GET /look/tag?work_ms=1"
    Then it is answered 200 by a target of "counter"
    And the target saw its id, the caller's service "orders" and at most 2000 ms left

  Scenario: A caller cannot impersonate another service or choose an instance
    When with "Caller: forged" and "Expect-Instance: i-no" a caller at "c" sends "GET /look/x"
    Then it is answered 200 by a target of "counter"
    And the target saw its id, the caller's service "orders" and at most 2000 ms left

  Scenario: Every node answers 404 where no route matches
    When callers at "a, b, c" send "GET /nowhere/x"
    Then all are answered 404

  Scenario: An order whose target closes the connection is not run again, and not reported as "not run"
    # Guards against an order that runs twice because its response was lost.
    When a caller at "a" sends "POST /order/x?cut=1"
    Then it is answered 502 without Retry-After
    And it ran once

  Scenario: A lookup whose target closes the connection is retried at another one
    # Guards against a lookup that fails although another target could serve it.
    When the target closes the connection while it runs "GET /look/x?cut=1" of a caller at "c"
    Then it ran at two targets

  Scenario: A response that belongs to no request reaches no caller
    # Guards against a second response on a kept connection that reaches the next caller.
    When the "GET /look/x?extra=1" of a caller at "a" is followed by 10 others
    Then each gets the response to its own request

  Scenario: A caller gets the first of two responses to its request
    # Guards against a second response that replaces the first one when both arrive in one read.
    When the "GET /look/x?twice=1" of a caller at "a" is followed by 10 others
    Then each gets the response to its own request

  Scenario: A request is cancelled when its caller disconnects
    When a caller at "a" disconnects 0.2 s after it sent "GET /look/x?work_ms=1500"
    Then the target cancels the request within 0.5 s

  Scenario: A request that its target never answers ends at the route's timeout
    When a caller at "c" sends "POST /order/x?mute=1"
    Then it is answered 504 after 0.9 to 1.4 s

  Scenario: Requests beyond the last slot wait or are refused, and none is lost
    # Guards against callers that get no response when all slots are taken.
    When 40 callers at "a" send "GET /look/x?work_ms=100" at once
    Then each is answered 200, or 503 with Retry-After
    And no refused request ran

  Scenario: A malformed request does not affect the requests behind it
    When malformed requests are sent to "a"
    Then each is answered 4xx or its connection is closed
    And none of them reached a target

  Scenario: A malformed heartbeat registers no target
    When "a" gets malformed heartbeats
    Then each is answered 400
    And a caller at "c" is still served "GET /look/x"

  Scenario: Counters and latency histograms can be read
    When a caller at "c" sends "GET /look/x"
    And the metrics of "c" are read
    Then they count the request by route and outcome
    And they hold a latency histogram, the configuration's version and calls to the store

  Scenario: Each decision about a request can be found in the logs by its id
    When a caller at "a" sends "POST /order/x?cut=1"
    Then the log of "a" reports its refusal with 502 and the reason

  Scenario: A lookup that fails at each target is not reported as "not run"
    # Guards against a lookup that is reported as "not run" although it ran and failed at every
    # target.
    When a caller at "c" sends "GET /look/x?fail=500"
    Then it is answered 500 without Retry-After
    And it ran at two targets

  Scenario: An order is not reported as "not run" after a 503 that does not say so
    # Guards against an order that its caller sends again after a 503 from its target.
    When a caller at "a" sends "POST /order/x?fail=503"
    Then it is answered 502 without Retry-After
    And it ran once

  Scenario: A large body reaches a target on another host and comes back unchanged
    When a caller at "c" sends a body of 3 MB to "PUT /look/large?echo=1"
    Then it gets the same body back

  Scenario: Pipelined requests are each answered, in order
    # Guards against a response out of order, which its caller would take for another request's.
    When a caller at "c" pipelines "GET /look/1?work_ms=300, GET /look/2?work_ms=1, POST /order/3, GET /look/4"
    Then it gets the responses to "/look/1, /look/2, /order/3, /look/4" in this order

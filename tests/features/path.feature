@fixture.small_deployment
Feature: Requests through a deployment of separate processes

  Scenario: A lookup is served by another node's target
    When a caller sends GET /tags/7 for orders to node a1
    Then the answer has status 200 and comes from target c1

  Scenario: A lookup is served by the entry node's local target
    When a caller sends GET /tags/7 for orders to node c1
    Then the answer has status 200 and comes from target c1

  Scenario: A request with a body runs at the target once
    When a caller sends POST /orders?key=k1 for orders to node b1
    Then the answer has status 200 and comes from target c1
    And target c1 has run key k1 once

  Scenario: A request to a service that no node announced is refused with its code
    When a caller sends GET / for nothing to node a1
    Then the answer is refused with 404 and code 105

  Scenario: A target that cuts its answer short
    # Guards against a caller that takes a truncated answer for a complete one: the target closes
    # the connection before it has sent the bytes of its Content-Length, and the node refuses.
    When a caller sends GET /?fail=cut for orders to node a1
    Then the answer is refused with 502 and code 303

  Scenario: Pipelined requests are answered in their order
    # The caller pipelines a slow request and a fast one on one connection. If the fast answer were
    # sent first, the caller would take it for the answer to the slow request.
    When a caller pipelines GET /slow?work_ms=80 and GET /fast?work_ms=0 for orders to node a1
    Then the answers are for /slow and /fast in this order

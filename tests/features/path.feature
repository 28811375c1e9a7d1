@fixture.small_deployment
Feature: The whole path through separate processes

  Scenario: A lookup is served by another node's target
    When a caller sends GET /tags/7 for orders to node a1
    Then the answer has status 200 and comes from target c1

  Scenario: A lookup is served by the target beside the entry node
    When a caller sends GET /tags/7 for orders to node c1
    Then the answer has status 200 and comes from target c1

  Scenario: A body reaches the target and is answered once
    When a caller sends POST /orders?key=k1 for orders to node b1
    Then the answer has status 200 and comes from target c1
    And target c1 has run key k1 once

  Scenario: A service that nobody announced is refused with its number
    When a caller sends GET / for nothing to node a1
    Then the answer is refused with 404 and code 105

  Scenario: A target that ends its answer early
    # The caller must not take half an answer for the whole: the target's connection ends after
    # a part of the announced length, the node sees fewer bytes than promised and refuses.
    When a caller sends GET /?fail=cut for orders to node a1
    Then the answer is refused with 502 and code 303

  Scenario: Pipelined requests are answered in their order
    # The caller sends a slow request and a fast one on one connection without waiting. If the
    # fast answer left first, the caller would take it for the answer to the slow request.
    When a caller pipelines GET /slow?work_ms=80 and GET /fast?work_ms=0 for orders to node a1
    Then the answers are for /slow and /fast in this order

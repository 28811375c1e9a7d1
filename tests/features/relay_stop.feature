@fixture.fresh_relay_deployment
Feature: Requests at a node that is told to stop while its target works

  The three hosts of relay_path.feature, started anew for each scenario. Routes have a timeout of
  5 s, the grace period is 6 s, and callers keep the connections that they opened before.

  Scenario: A stopping node takes no request that it may not finish
    # Guards against orders that run elsewhere and are cut off when the node that took them exits.
    Given lookups of 4500 ms run at all targets of "counter"
    And 3 callers are connected to "a"
    When the node of "a" is told to stop
    And 3.2 s later each caller sends "POST /order/x?work_ms=2600" with a deadline of 4000 ms
    Then each is refused at once with 503 and code 206, and none has run
    And Retry-After leads to a time after the exit of "a"

  Scenario: A stopping node serves a request whose deadline comes before its exit
    # Guards against a stop that refuses the requests of its own target's runs.
    Given lookups of 4500 ms run at all targets of "counter"
    And 3 callers are connected to "a"
    When the node of "a" is told to stop
    And 3.2 s later each caller sends "POST /order/x?work_ms=300" with a deadline of 1500 ms
    Then each is served

  Scenario: A request that outlasts the exit of its node gets a response
    # Guards against requests that end without a response when they take longer than the grace period.
    Given routes have a timeout of 5 s
    And the grace period of "a" is reloaded as 2 s
    And 3 callers are connected to "a"
    When each caller sends "POST /order/x?work_ms=4000" with a deadline of 4500 ms
    And all of them have begun to run
    And the node of "a" is told to stop
    Then each gets 502 and code 303 within 2 s of the signal

  Scenario: A request that waits behind another one at a stopping node gets a response
    # Guards against requests that a stopping node has read and drops with the connection.
    Given routes have a timeout of 5 s
    And 3 callers are connected to "a"
    When the node of "a" is told to stop
    And each caller sends "POST /order/x?work_ms=3000" with a deadline of 4500 ms
    And each caller sends "POST /order/y?work_ms=20" with a deadline of 4500 ms
    Then each gets two responses with status 200

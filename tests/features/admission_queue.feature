Feature: What the admission queue of a target admits, queues, rejects and sheds

  A target with nine slots of which seven are used, because the last ones would slow all work down.
  Requests take 100 ms and have a latency objective of 300 ms unless a scenario says otherwise. Time is
  simulated; there is no network.

  Scenario: A burst fills the slots and a short queue, and the rest is rejected at once
    # Guards against requests of a burst that are refused only at their deadline for lack of a slot.
    Given a target with 9 slots
    When 40 requests come at once
    Then 7 run and 13 are queued
    And 20 were rejected, each with its expected wait
    When the target has worked off the queue
    Then every request that was admitted is answered within its objective

  Scenario: Under overload the admitted requests are answered in time
    # Guards against a queue that is always full, which makes every answer late.
    Given a target with 9 slots
    When 140 requests a second come for 10 s
    Then at least 95 in 100 of those admitted are answered within their objective
    And the target is busy at least 95 in 100 of the time

  Scenario: An urgent request starts before less urgent ones in the queue
    # Guards against urgent requests that wait behind a queue of less urgent ones.
    Given a target with 9 slots
    And 12 requests of 100 ms with priority 2 that came first
    When a request with priority 0 comes
    Then it starts before any of the queued ones

  Scenario: An urgent request takes the place of a less urgent one in a full queue
    # Guards against urgent requests that are refused because less urgent ones arrived first.
    Given a target with 9 slots
    And 40 requests of 100 ms with priority 2 and 2.0 s that came first
    When a request with priority 0 comes
    Then one queued request of priority 2 was shed for it
    And it starts before any of the queued ones

  Scenario: A target that becomes slow sheds queued requests at once
    # Guards against queued requests that wait for a slow target while others have free slots.
    Given a target with 9 slots
    When 20 requests come at once
    And the target becomes 4 times slower
    Then at least 10 queued requests are shed at once

  Scenario: Late requests get a short queue, behind all requests that are in time
    # Guards against late requests that take the slots of requests that are still in time.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 late requests whose objective has passed come
    Then 4 of them are queued
    When the target has worked off the queue
    Then the late ones are answered last

  Scenario: A leaving target sheds its queue and completes the running requests
    Given a target with 9 slots
    When 20 requests come at once
    And admission is closed
    Then 7 run and 0 are queued
    And every queued request was shed
    And no request that comes later is admitted

  Scenario: A cancelled request frees its place in the queue
    Given a target with 9 slots
    When 9 requests come at once
    And the first one that is queued is cancelled
    And one that runs is finished
    Then 7 run and 0 are queued

  Scenario: Short late calls are queued where long late requests are rejected
    # Guards against requests that fail because one of their short calls is rejected as late.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 late requests of 40 ms whose objective has passed come
    Then 9 of them are queued

  Scenario: A request that can't finish before its deadline takes no slot
    # Guards against slots taken by requests that are cancelled at their deadline.
    Given a target with 9 slots
    When a request with 50 ms left comes
    Then 0 run and 0 are queued

  Scenario: Short calls among long requests are answered within their objective or rejected at once
    # Guards against calls that are queued past the objective of the request that waits for them.
    Given a target with 9 slots that runs orders of 210 ms and calls of 40 ms
    When 60 orders a second and 50 calls a second come for 10 s
    Then at least 60 in 100 of the calls are answered within 150 ms
    And the orders that are admitted are answered within 1200 ms
    And at least 20 orders a second are answered

  Scenario: Short calls without other requests are answered within their objective
    # Guards against a queue of late calls where all requests take the same time.
    Given a target with 9 slots that runs only calls of 40 ms
    When 400 calls a second come for 10 s
    Then at least 95 in 100 of the calls that are admitted are answered within 150 ms

  Scenario: Calls do not delay urgent lookups beyond their objective
    # Guards against late calls that make all other requests of an overloaded target late.
    Given a target with 8 slots that runs uploads, urgent lookups and calls
    When 22 uploads of 72 ms, 53 lookups of 24 ms and 230 calls of 15 ms a second come for 20 s
    Then at least 90 in 100 of the lookups are answered within 100 ms
    And at least 90 in 100 of the calls are answered within 80 ms

  Scenario: A target whose node exits sheds the queued requests that may outlast it
    # Guards against queued requests that start in a stop and are cut off by the exit of the node.
    Given a target with 9 slots
    When 10 requests come at once
    And 3 requests with 5.0 s left come
    And its node is to exit in 4.0 s
    Then the 3 requests with 5.0 s left were shed
    And 7 run and 3 are queued

Feature: What the admission queue of a target admits, queues, rejects and sheds

  A target with nine slots of which seven are used, because the last ones slow all work down.
  Work of 100 ms with a latency objective of 300 ms unless said otherwise; a clock of its own, no network.

  Scenario: A burst fills the slots and a short queue, and the rest is rejected at once
    # Guards against callers of a burst that learn at their deadline that there was no slot.
    Given a target with 9 slots
    When 40 requests come at once
    Then 7 run and 13 are queued
    And 20 were rejected, each with the delay it would have had
    When the target works through it
    Then every request that was admitted is answered within its objective

  Scenario: Saturation: what is admitted is in time, whatever is offered
    # Guards against a queue that is always full, so that every answer is late.
    Given a target with 9 slots
    When 140 requests a second come for 10 s
    Then at least 95 in 100 of those admitted are answered within their objective
    And the target is busy at least 95 in 100 of the time

  Scenario: Urgent work goes first among long work
    # Guards against urgent work that waits behind a queue of less urgent work.
    Given a target with 9 slots
    And 12 requests of 100 ms with priority 2 that came first
    When a request with priority 0 comes
    Then it starts before any of the queued ones

  Scenario: A queue full of less urgent work is open to more urgent work
    # Guards against urgent requests that are refused because less urgent ones came first.
    Given a target with 9 slots
    And 40 requests of 100 ms with priority 2 and 2.0 s that came first
    When a request with priority 0 comes
    Then one queued request of priority 2 was shed for it
    And it starts before any of the queued ones

  Scenario: A host that slows down under its queue sheds the queue at once
    # Guards against queued requests that wait for a slow host while others have slots.
    Given a target with 9 slots
    When 20 requests come at once
    And the target becomes 4 times slower
    Then at least 10 queued requests are shed in that moment

  Scenario: Late work is queued only shortly and behind all that is in time
    # Guards against late work that takes the slots of work that is still in time.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 late requests whose objective has passed come
    Then 4 of them are queued
    When the target works through it
    Then the late ones are answered last

  Scenario: A leaving target sheds its queue and ends what runs
    Given a target with 9 slots
    When 20 requests come at once
    And admission is closed
    Then 7 run and 0 are queued
    And every queued request was shed
    And no request that comes later is admitted

  Scenario: A caller that leaves gives its place in the queue to the next
    Given a target with 9 slots
    When 9 requests come at once
    And the first one that is queued is cancelled
    And one that runs is finished
    Then 7 run and 0 are queued

  Scenario: Short late calls are queued where long late work is not
    # Guards against requests that fail because a short call of theirs is rejected as late.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 late requests of 40 ms whose objective has passed come
    Then 9 of them are queued

  Scenario: What cannot be done in the time left takes no slot
    # Guards against slots taken by work that is broken off at its deadline.
    Given a target with 9 slots
    When a request with 50 ms left comes
    Then 0 run and 0 are queued

  Scenario: Short calls among long work are answered within their objective or rejected at once
    # Guards against calls that are queued past the objective of the request that waits for them.
    Given a target with 9 slots that works on orders of 210 ms and on calls of 40 ms
    When 60 orders a second and 50 calls a second come for 10 s
    Then at least 60 in 100 of the calls are answered within 150 ms
    And the orders that are admitted are answered within 1200 ms
    And at least 20 orders a second are answered

  Scenario: Short calls alone are held to their objective
    # Guards against a queue of late calls where all work is of one length.
    Given a target with 9 slots that works on calls of 40 ms alone
    When 400 calls a second come for 10 s
    Then at least 95 in 100 of the calls that are admitted are answered within 150 ms

  Scenario: Calls do not hold urgent lookups and uploads beyond their objective
    # Guards against late calls that make all other work of an overloaded target late.
    Given a target with 8 slots that works on uploads, urgent lookups and calls
    When 22 uploads of 72 ms, 53 lookups of 24 ms and 230 calls of 15 ms a second come for 20 s
    Then at least 90 in 100 of the lookups are answered within 100 ms
    And at least 90 in 100 of the calls are answered within 80 ms

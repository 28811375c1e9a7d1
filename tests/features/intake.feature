Feature: What a target's node lets in, what waits and what is turned away

  A target with nine slots of which seven are used, because the last ones slow all work down.
  Work of 100 ms with a goal of 300 ms unless said otherwise; a clock of its own, no network.

  Scenario: A burst fills the slots and a short queue, and the rest is told at once
    # Forty callers come in one moment. Seven run, those that can start in time wait, and the others
    # know at once that they have to go elsewhere: none of them finds out at its deadline.
    Given a target with 9 slots
    When 40 requests come at once
    Then 7 run and 13 wait
    And 20 were turned away, each with the wait it would have had
    When the target works through it
    Then every request that was let in is answered within its goal

  Scenario: Saturation: what is let in is in time, whatever is offered
    # Twice what the target can do, for 10 s. Without the foretold wait the queue is always full
    # and each request waits for two rounds.
    Given a target with 9 slots
    When 140 requests a second come for 10 s
    Then at least 95 in 100 of those let in are answered within their goal
    And the target is busy at least 95 in 100 of the time

  Scenario: Urgent work goes first among long work
    # Registrations of priority 0 share the target with reports of priority 2 that fill it.
    Given a target with 9 slots
    And 12 requests of 100 ms with priority 2 that came first
    When a request with priority 0 comes
    Then it starts before any of the waiting ones

  Scenario: A host that slows down under its queue sends the queue away at once
    # A neighbour takes the host's processor. What waits would start four times as late; it still
    # has time to go elsewhere.
    Given a target with 9 slots
    When 20 requests come at once
    And the target becomes 4 times slower
    Then at least 10 waiting requests are sent away in that moment

  Scenario: Late work waits only in a short line and behind all that is in time
    # A few callers take an answer after their goal rather than none. They get slots that nobody
    # else wants, and no more than a few may wait.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 patient requests whose goal has passed come
    Then 4 of them wait
    When the target works through it
    Then the late ones are answered last

  Scenario: A leaving target turns away what waits and ends what runs
    Given a target with 9 slots
    When 20 requests come at once
    And admission is closed
    Then 7 run and 0 wait
    And every waiting request was sent away
    And no request that comes later is let in

  Scenario: A caller that leaves gives its place to the next
    Given a target with 9 slots
    When 9 requests come at once
    And the first one that waits is withdrawn
    And one that runs is finished
    Then 7 run and 0 wait

  Scenario: Short calls that other work waits for find room where long late work does not
    # Calls of 40 ms whose goal has passed come to a target that has as much late work as it takes
    # of the long kind. Turned away, each would fail a request that has nearly been done.
    Given a target with 9 slots
    When 21 requests come at once
    And 10 patient requests of 40 ms whose goal has passed come
    Then 9 of them wait

  Scenario: What cannot be done in the time left takes no slot
    # Its caller waits for 50 ms more, the work takes 100 ms: run, it would be broken off.
    Given a target with 9 slots
    When a request with 50 ms left comes
    Then 0 run and 0 wait

  Scenario: Short calls among long work are answered within their goal or turned away at once
    # Two targets of three are gone, and the last one has twice the orders of 210 ms that it can do.
    # Lookups elsewhere wait for calls of 40 ms here. Kept until their caller's time is up, most of
    # the calls are answered, but after the goal of the lookup that waits for them.
    Given a target with 9 slots that works on orders of 210 ms and on calls of 40 ms
    When 60 orders a second and 50 calls a second come for 10 s
    Then at least 60 in 100 of the calls are answered within 150 ms
    And the orders that are let in are answered within 1200 ms
    And at least 20 orders a second are answered

  Scenario: Short calls alone are held to their goal
    # Where all work is of one length nothing goes ahead of the rest.
    Given a target with 9 slots that works on calls of 40 ms alone
    When 400 calls a second come for 10 s
    Then at least 95 in 100 of the calls that are let in are answered within 150 ms

  Scenario: Calls do not hold urgent lookups and uploads beyond their goal
    # Uploads, urgent lookups and calls of running work share a target that has a little more to do
    # than it can. Calls that wait until their caller's time is up would stand ahead of all the rest,
    # so that lookups, uploads and the work behind the calls are late together.
    Given a target with 8 slots that works on uploads, urgent lookups and calls
    When 22 uploads of 72 ms, 53 lookups of 24 ms and 230 calls of 15 ms a second come for 20 s
    Then at least 90 in 100 of the lookups are answered within 100 ms
    And at least 90 in 100 of the calls are answered within 80 ms

Feature: Which calls a target's node admits, queues and refuses

  Each load is simulated against one admission gate with ten slots on a simulated clock, with our
  policy, and again with one part of the policy replaced by the baseline's.

  Scenario: A burst of up to five calls per slot is admitted and the rest is refused at once
    # 80 calls arrive at the same time: 10 run, 40 are queued and 30 are refused immediately, as
    # a longer queue would only make them late.
    Given a burst of 80 lookups of 5 ms
    When it is simulated with our policy
    Then 50 calls are served and 30 are refused on arrival
    When it is simulated with the baseline policy
    Then at least 15 fewer calls are served

  Scenario: One caller that sends most of the load does not crowd out the others
    # One caller sends 19 of 20 calls, and the load is twice the capacity. The other 20 callers stay
    # far below their fair share and must not be slowed down or refused.
    Given a skewed load of one heavy caller and 20 light ones
    When it is simulated with our policy
    Then every call of the light callers is served, 99 in 100 within 12 ms
    When it is simulated with the queue replaced by the baseline
    Then at least a third of the calls of the light callers is refused

  Scenario: A team of many callers gets no more than a team of one
    # Fairness per caller alone would give the 50 callers of one team 50 shares.
    Given equal floods by a team of 50 callers and by a team of one
    When it is simulated with our policy
    Then both teams are served equally within 5 in 100

  Scenario: A team's weight sets its share of the target
    Given equal floods by a team of 50 callers and by a team of one
    When it is simulated with our policy and weight 3 for the team of one
    Then the team of one is served between 2 and 4 times as often

  Scenario: Lookups do not wait behind long calls
    # Reports of 200 ms, twice the capacity, run along with lookups of 2 ms. If reports took all ten
    # slots, a lookup would wait about 20 ms for a slot; so two slots are reserved for short calls.
    Given reports of 200 ms among lookups of 2 ms
    When it is simulated with our policy
    Then at least 95 in 100 lookups are served, 99 in 100 of them within 20 ms
    When it is simulated with the reserve replaced by the baseline
    Then fewer than 90 in 100 lookups are served

  Scenario: A flood of reorders does not delay lookups
    Given a flood of reorders beside lookups
    When it is simulated with our policy
    Then at least 99 in 100 lookups are served, 99 in 100 of them within 15 ms
    When it is simulated with the classes replaced by the baseline
    Then fewer than 95 in 100 lookups are served

  Scenario: A flood of lookups does not starve reorders
    # Lookups have priority and would take all slots: one start in five is reserved for reorders.
    Given a flood of lookups beside reorders
    When it is simulated with our policy
    Then between 15 and 30 in 100 of the calls served are reorders
    And no reorder waited longer than 500 ms for its answer

  Scenario: Sustained overload does not build a standing queue
    # Twice the capacity for two seconds. A queue that stays full adds its whole length to every
    # answer time without raising throughput.
    Given a load of twice the capacity
    When it is simulated with our policy
    Then the target is never idle and 99 in 100 answers come within 16 ms
    When it is simulated with the sojourn replaced by the baseline
    Then the 99th percentile of answer times is at least 30 ms

  Scenario: A call that cannot meet its deadline is not started
    # Calls of 5 ms with a deadline of 12 ms, at twice the capacity. A call that starts too late
    # occupies a slot for an answer that nobody waits for any more.
    Given a load of twice the capacity with a deadline of 12 ms
    When it is simulated with our policy
    Then the target is never idle and every answer is in time
    When it is simulated with the deadline_check replaced by the baseline
    Then at least 15 in 100 answers are late

  Scenario: A slow period does not make the gate refuse all calls for good
    # After a period of calls of 500 ms the smoothed work time predicts that no deadline of 100 ms
    # can be met. If all calls were refused for that, none would show that the target has recovered.
    Given calls of 500 ms and then calls of 5 ms with a deadline of 100 ms
    When it is simulated with our policy
    Then the last 20 calls are served

  Scenario: Fewer calls run at once while another process uses the processor
    # For two seconds the target has 3 of its 10 cores. Ten concurrent calls would each take three
    # times as long; fewer give the same throughput with shorter answer times.
    Given another process that uses 7 of 10 cores for two seconds
    When it is simulated with our policy
    Then during the contention 99 in 100 answers come within 70 ms
    And a second after the contention ends every call is served again
    When it is simulated with the limit replaced by the baseline
    Then during the contention the 99th percentile of answer times is at least 90 ms

  Scenario: A target that waits for a slow dependency keeps its concurrency limit
    # Each call takes three times as long at any concurrency: a lower limit would only cost
    # throughput, so the reduction is reverted.
    Given a target that waits three times as long for a slow store
    When it is simulated with our policy
    Then it serves at least 9 in 10 of the calls that the baseline serves

  Scenario: A target that sheds load gets fewer concurrent calls
    Given a gate with 10 slots
    When the target sheds load in two windows
    Then at most 5 calls run at once
    And after 20 windows without it 10 calls run at once

  Scenario: Refused callers do not retry at the same time
    # 200 calls arrive at the same time. With a fixed Retry-After the 150 refused calls would all be
    # retried at the same time and be refused again, without end.
    Given a burst of 200 lookups of 5 ms
    When it is simulated with our policy and refused calls are retried after their Retry-After
    Then at most 1 in 10 retried calls is refused again

  Scenario: The counters stay exact in any order of events
    # Calls are offered, finished, cancelled and expire; the target announces other slot counts,
    # leaves and returns. Each call gets one answer and no slot is lost or assigned twice.
    When 150 random histories of a gate are run

  Scenario: A gate with an inconsistent slot count refuses calls
    Given a gate with 10 slots
    When a call releases its slot twice
    Then the next call is refused with code GATE_BROKEN

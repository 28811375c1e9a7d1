Feature: When a request in flight is hedged with a second target

  The work takes 100 ms, the latency objective is 400 ms and the deadline is in 1000 ms unless a
  scenario says otherwise.

  Scenario: A hedge is considered at the last moment at which another target can still be in time
    # Guards against a request that is late although another target had time for it.
    When the first target was expected to take 120 ms
    Then a hedge is considered after 270 ms

  Scenario: No hedge is considered before the first target had its usual time
    # Guards against doubling the load with hedges of answers that are about to arrive.
    When the first target was expected to take 300 ms
    Then no hedge is considered before 375 ms

  Scenario: A lost request is hedged before its deadline
    # Guards against waiting out the timeout of a target that never answers.
    When the first target was expected to take 120 ms
    Then a hedge is considered after 360 ms

  Scenario: A request without enough time left is not hedged
    # Guards against hedges whose answer would come after the caller's deadline.
    Given 150 ms are left until the deadline and until the objective
    When the first target was expected to take 120 ms
    Then no hedge is considered before 1000 ms

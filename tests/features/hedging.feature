Feature: When a request in flight is hedged with a second target

  Work of 100 ms, a latency objective of 400 ms and 1000 ms in all unless said otherwise.

  Scenario: At the last moment at which another target can still be in time
    # Guards against a request that is late although another target had time for it.
    When the first target was expected to take 120 ms
    Then a hedge is considered after 270 ms

  Scenario: Not before the first target had its usual time
    # Guards against doubling the load with hedges of answers that are about to arrive.
    When the first target was expected to take 300 ms
    Then no hedge is considered before 375 ms

  Scenario: A request that was lost goes to another target before its time is up
    # Guards against waiting out the timeout of a target that never answers.
    When the first target was expected to take 120 ms
    Then a hedge is considered after 360 ms

  Scenario: A request without enough time left stays where it is
    # Guards against hedges whose answer nobody would wait for.
    Given 150 ms are left in all and for the objective
    When the first target was expected to take 120 ms
    Then no hedge is considered before 1000 ms

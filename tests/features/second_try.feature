Feature: When a request that is under way is given to a second target

  Work of 100 ms, a goal of 400 ms and 1000 ms in all unless said otherwise.

  Scenario: At the last moment at which another target can still be in time
    # The first target was taken by a neighbour. Its request would end at 500 ms; a second one that
    # starts at 270 ms ends at 370 ms.
    When the first target was expected to take 120 ms
    Then a second one is considered after 270 ms

  Scenario: Not before the first target had its usual time
    # A second run of all that is a little late would double the load for nothing.
    When the first target was expected to take 300 ms
    Then no second one is considered before 375 ms

  Scenario: A request that was lost goes to another target before its time is up
    When the first target was expected to take 120 ms
    Then a second one is considered after 360 ms

  Scenario: A request without enough time left stays where it is
    Given 150 ms are left in all and for the goal
    When the first target was expected to take 120 ms
    Then no second one is considered before 1000 ms

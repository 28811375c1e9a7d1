Feature: After which delay refused callers are told to retry

  Scenario: Callers refused in one moment do not retry in one moment
    # Guards against a refused burst that repeats as a whole.
    Given 200 callers refused with a wait of 200 ms and 400 ms left of their objective, for work of 100 ms
    Then no tenth of the time holds more than a fifth of their retries
    And all retry after at least 40 ms and with time for their work

  Scenario: A caller whose objective has passed retries when there may be room
    Given 200 callers refused with a wait of 300 ms and 0 ms left of their objective, for work of 100 ms
    Then all retry between 150 and 450 ms

  Scenario: Nobody asks in a loop for a service without a target
    Given 200 callers refused for want of a target
    Then all retry between 125 and 250 ms

  Scenario: A caller whose request a target shed at random retries at once
    # Guards against a delay that uses up the objective although the next try is as good as the first.
    Given 200 callers whose requests were turned away by their targets
    Then all retry between 5 and 15 ms
    And no tenth of the time holds more than a fifth of their retries

Feature: The retry delays that refused callers are given

  Scenario: Callers refused at the same time do not retry at the same time
    # Guards against a burst of refused requests that comes back as one burst.
    Given 200 callers refused with a wait of 200 ms and 400 ms left of their objective, for work of 100 ms
    Then no tenth of the interval holds more than a fifth of their retries
    And all retry after at least 40 ms and with time for their work

  Scenario: Callers of a service whose targets all have a limited rate wait for the next start
    # Guards against a delay that brings callers back before any target may get a request.
    Given 200 callers refused by targets that get their next request in 800 ms
    Then all retry between 800 and 1200 ms
    And no tenth of the interval holds more than a fifth of their retries

  Scenario: One target without a limited rate is enough for an early retry
    Given a target that gets its next request in 800 ms and one without a limited rate
    Then no caller has to wait for a start

  Scenario: The wait for the next start gets shorter as the status gets older
    Given a target that got its status 300 ms ago and then had to wait for 800 ms
    Then the wait for a start is 500 ms

  Scenario: A caller whose latency objective has passed retries when a slot may be free
    Given 200 callers refused with a wait of 300 ms and 0 ms left of their objective, for work of 100 ms
    Then all retry between 150 and 450 ms

  Scenario: Callers of a service without a target do not retry in a tight loop
    Given 200 callers refused because no target is available
    Then all retry between 125 and 250 ms

  Scenario: A caller whose request a target shed at random retries at once
    # Guards against a delay that uses up the latency objective although the next attempt is as
    # likely to succeed as the first.
    Given 200 callers whose requests were shed by their targets
    Then all retry between 5 and 15 ms
    And no tenth of the interval holds more than a fifth of their retries

Feature: How many requests a cold target is sent

  A target that tolerates 7 requests a second while it is cold, with a bound of 18.5 in any second.
  Uses a simulated clock and no network.

  Scenario: Starts at a cold target are limited under full load
    # Guards against a target that crashes repeatedly under the load of its first second.
    Given a target that has reported that it is cold for 3.0 s
    When 40 requests a second come for 2.5 s
    Then no second has more than 16 starts
    And at least 12 start in each whole second

  Scenario: A warm target is sent all requests at once
    Given a target that has reported that it is warm
    When 40 requests a second come for 2.5 s
    Then every request starts when it arrives

  Scenario: A service without a configured rate
    # Guards against a limit where none is configured.
    Given a target that has reported that it is cold for 3.0 s
    And its service has no rate
    When 40 requests a second come for 2.5 s
    Then every request starts when it arrives

  Scenario: A target counts as cold until it has reported
    # Guards against a node that sends full load because it starts beside a target that has just
    # been started as well.
    Given a target that has reported nothing
    When 40 requests a second come for 2.5 s
    Then no second has more than 16 starts

  Scenario: A node that starts beside a cold target waits for a second
    # Guards against requests of the previous process and of this one in the same second.
    Given a target that has reported nothing
    When 40 requests a second come for 0.9 s
    Then 0 requests have started

  Scenario: A target that turned cold after its node had started gets requests at once
    # Guards against a pause after each power failure, although no other process has sent any
    # requests.
    Given a target that has reported nothing
    When 40 requests a second come for 0.2 s
    And it reports that it is cold for 2.9 s
    Then a request starts at once

  Scenario: A target that turned cold shortly before its node started
    # Guards against a pause of a whole second where the previous process can have sent only a few
    # requests.
    Given a target that has reported nothing
    When 40 requests a second come for 0.2 s
    And it reports that it is cold for 2.7 s
    Then the next request waits for at least 0.02 s and at most 0.35 s

  Scenario: A warm target turns cold under load
    # Guards against a limit that ignores the requests sent before the response of the target was
    # known.
    Given a target that has reported that it is warm
    When 40 requests a second come for 0.1 s
    And it reports that it is cold for 3.0 s
    And 40 requests a second come for 2.5 s
    Then no second after the last report that it was warm has more than 16 starts

  Scenario: A target reports that it has been cold for a while
    # Guards against a limit that ignores requests sent to a cold target before it reported.
    Given a target that has reported that it is warm
    When 40 requests a second come for 0.3 s
    And it reports that it is cold for 2.7 s
    And 40 requests a second come for 2.0 s
    Then no second has more than 16 starts

  Scenario: Requests to the previous process do not count
    # Guards against a pause after each crash under load.
    Given a target that has reported that it is warm
    When 40 requests a second come for 0.5 s
    And its connection closes
    And nothing is heard of it for 0.5 s
    And it reports that it is cold for 2.9 s
    Then a request starts at once

  Scenario: A target that may have been replaced counts as cold until it has reported
    # Guards against a process that gets the load of a warm target because it takes its address.
    Given a target that has reported that it is warm
    When its connection closes
    And 40 requests a second come for 0.5 s
    Then at most 10 requests have started
    When it reports that it is warm
    And 40 requests a second come for 0.5 s
    Then at least 25 requests have started

  Scenario: A report of a target expires
    # Guards against a node that was suspended while its target was replaced, and then sends all
    # requests that it held.
    Given a target that has reported that it is warm
    When nothing is heard of it for 4.0 s
    And 40 requests a second come for 0.5 s
    Then at most 10 requests have started

  Scenario: A target announces that it is cold while its health response does not mention it
    Given a target that has reported nothing
    When it announces that it is cold for 3.0 s
    And its health response does not mention it
    And 40 requests a second come for 2.5 s
    Then no second has more than 16 starts

  Scenario: A configuration that lowers the rate
    # Guards against a second that is filled at the old rate.
    Given a target that has reported that it is cold for 9.0 s
    When 40 requests a second come for 2.0 s
    And the rate becomes 2.0 a second with a bound of 5.0
    And 40 requests a second come for 3.0 s
    Then no second since then has more than 4 starts

  Scenario: Connections that open late and all at once
    # Guards against a node that was suspended and then sends the requests of a second at once.
    Given a target that has reported that it is cold for 9.0 s
    When 10 requests that started 0.5 s ago are written at once
    And 40 requests a second come for 2.0 s
    Then no second has more than 16 starts

  Scenario: Urgent requests go first at a cold target
    # Guards against less urgent requests that use up the limit of a cold target.
    Given a cold target whose queue holds 8 requests of priority 2
    When a request of priority 0 is queued
    Then it starts next

  Scenario: A request rejected at a cold target is told how long to wait
    # Guards against callers that wait for a cold target until their deadline.
    Given a cold target whose queue is full
    When one more request arrives
    Then it is rejected at once with the wait for its start

Feature: Large systems probe hosts for their load when a target is chosen

  In a system of 77 hosts each host gets a few requests a second, and a quarter of the hosts run at
  a quarter of their speed for some 300 ms at a time. The hosts and the clock are simulated.

  Scenario: Few requests go to a host that is slow when they arrive
    # Guards against choosing a target by outdated load reports.
    Given 25 hosts of one service that slow down at random and report once a second
    When 4000 requests are sent by the last status
    And 4000 requests are sent after probing
    Then more than 7 of 100 went to a slow host by the last status
    And fewer than 3 of 100 went to a slow host after probing

  Scenario: A burst of choices at the same moment is spread over the hosts
    # Guards against entry nodes that all choose the same two targets.
    Given 25 hosts of one service, all idle and last heard a second ago
    When 60 entry nodes each choose hosts to probe
    Then more than 5 hosts are probed

  Scenario: Hosts can be ranked for work that takes no time
    # Guards against an error for a route whose objective, and so its first work estimate, is zero.
    Given 5 hosts of one service, all idle and last heard a second ago
    When they are ranked for work that takes no time
    Then all 5 are candidates

  Scenario: A free slot is found among many targets with two slots each
    # Guards against refusing every sixth request while half of the slots of the service are free.
    Given 35 hosts of one service with 2 slots, of which half are taken
    When 1000 requests are each sent after probing
    Then fewer than 2 in 100 met no free slot

  Scenario: Hosts with a fresh status are not probed
    Given 5 hosts of one service, all idle and last heard just now
    Then no host is probed

  Scenario: The choice continues as soon as all hosts have answered
    Given three hosts that are probed
    When all three answer after 2 ms
    Then the choice continued after 2 ms

  Scenario: The choice does not wait for the other answers when one is sufficient
    # Guards against waiting for answers that cannot be better.
    Given three hosts that are probed
    When one of them answers after 2 ms that it is fast and has room
    Then the choice continued after 2 ms

  Scenario: The answer of a host without a free slot is not sufficient
    Given three hosts that are probed
    When one of them answers after 2 ms that it is fast and full
    Then the choice continued after 10 ms

  Scenario: A host that does not answer delays nothing and is ranked last
    # Guards against requests that wait for a host that is frozen or cut off.
    Given three hosts that are probed
    When all but one answer after 2 ms
    Then the choice continued after 10 ms
    And 0.2 s later the silent host is ranked last
    And once it answers it is ranked first

  Scenario: Requests that probe the same host share one probe
    Given three hosts that are probed
    When they are probed again within 1 ms
    Then 3 probes were sent
    And both choices continue when all three answer

  Scenario: Probes stay within their budget
    Given three hosts that are probed
    When 500 further choices probe three hosts within a second, each answered at once
    Then at most 400 probes were sent
    And every choice continued

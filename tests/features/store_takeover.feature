Feature: Changes are in force in time, whichever processes are lost

  But for the first scenario, the hosts, their datagrams and the store are simulated; the store
  answers a poll after 10 ms. Hosts that lose power are silent from one moment on.

  @fixture.six_relay_hosts
  Scenario: The pollers lose power beside a change, with real processes
    # Guards against requests that are sent by an old route until the lost pollers count as gone.
    Given requests to "/look/" go to targets of "counter", at all hosts
    When the hosts that poll lose power, and "/look/" moves to "orders" 0.1 s later
    Then within 2 s each other host sends "/look/" to "orders"

  Scenario Outline: The pollers lose power beside a change
    # Guards against a change that no host reads until the lost pollers count as gone.
    Given <hosts> hosts that may miss a change for <limit> s
    When <which> lose power on each of <seeds> seeds, and the configuration changes up to 2 s later
    Then each change is in force at all others within <limit> s

    Examples:
      | hosts | limit | which                             | seeds |
      | 6     | 2     | the pollers                       | 12    |
      | 12    | 2     | the pollers                       | 12    |
      | 12    | 2     | 60 of 100 hosts, with the pollers | 12    |
      | 12    | 2     | all but one                       | 12    |
      | 12    | 0.6   | the first half of the order       | 6     |

  Scenario: The hosts that take over lose power as well
    # Guards against a bound that holds for one loss and not for losses in a row.
    Given 12 hosts that may miss a change for 2 s
    When the hosts that poll lose power again and again, while the configuration changes
    Then each change is in force at all others within 2 s

  Scenario: The hosts that take over lose power as well, on another seed
    # Guards against a bound that holds for one loss and not for losses in a row.
    Given 12 hosts that may miss a change for 2 s
    When the hosts that poll lose power again and again on seed 22, while the configuration changes
    Then each change is in force at all others within 2 s

  Scenario: The pollers lose power beside an evacuation
    # Guards against hosts that fetch a changed configuration only, and miss evacuations.
    Given 12 hosts that may miss a change for 2 s
    When the pollers lose power on each of 6 seeds, and a domain is evacuated up to 2 s later
    Then each change is in force at all others within 2 s

  Scenario: A report that tells of an unknown evacuation is no contact
    # Guards against reports that hide an evacuation because the configuration is the same.
    Given 6 hosts that may miss a change for 2 s
    When a host gets the report of a contact of now, with evacuations that it doesn't know
    Then its last contact is older

  Scenario: The pollers lose power after an outage of the store
    # Guards against hosts that don't poll because others, which have no reason to poll again, failed
    # to in the outage.
    Given 40 hosts that may miss a change for 2.5 s
    And an outage of the store of 20 s that has ended 5 s ago
    When the pollers lose power on each of 8 seeds, and the configuration changes up to 2 s later
    Then each change is in force at all others within 2.5 s

  Scenario: All hosts but one lose power in an outage of the store
    # Guards against a host whose next try after the outage is as late as if all others tried too.
    Given 74 hosts that may miss a change for 2.5 s
    When all but one lose power in an outage of 20 s, and the configuration changes 3 s after its end
    Then each change is in force at all others within 2.5 s

  Scenario Outline: Reports take the place of polls
    # Guards against calls to the store that grow with the number of hosts.
    Given <hosts> hosts that may miss a change for <limit> s, and lose <loss> of 100 datagrams
    When 30 s pass without a change
    Then the store took at most <reads> reads

    Examples:
      | hosts | limit | loss | reads |
      | 12    | 2     | 0    | 120   |
      | 12    | 2     | 5    | 130   |
      | 74    | 2.5   | 1    | 130   |

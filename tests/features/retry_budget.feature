Feature: Retries of all nodes together stay within the configured limits

  Each node spends its part of the budget without coordination. A request that runs again repeats
  its own calls, and those count as retries at the called service: one level of calls doubles the
  cost of a retry.

  Scenario Outline: Retries do not double the load of a service that sheds most of it
    # Guards against retries that add load when capacity is lowest.
    Given <nodes> nodes that each take <rate> requests a second for 40 s
    When every request asks for a retry
    Then twice the retries of any 10 s stay within 0.2 of the requests and 60 more

    Examples:
      | nodes | rate |
      | 12    | 3    |
      | 12    | 20   |
      | 11    | 60   |
      | 77    | 5    |
      | 300   | 1    |

  Scenario: A single failure after a period of low load is retried
    Given 12 nodes that each take 1 requests a second for 40 s
    When one request asks for a retry after 10 s
    Then it is granted

  Scenario: Unused retries do not accumulate for a later burst
    Given 12 nodes that each take 50 requests a second for 40 s
    When every request asks for a retry after 30 s
    Then twice the retries of any 10 s stay within 0.2 of the requests and 60 more

  Scenario Outline: Reruns of lookups whose own calls fail are limited
    # Guards against reruns whose repeated calls exceed the retry limits of the called service.
    Given <nodes> nodes that each take <rate> requests a second for 40 s
    When every request asks for a rerun of 2 calls, where requests make 1.0 on average
    And every call asks for a retry
    Then the repeats of any 10 s stay within 0.2 of the calls and 60 more

    Examples:
      | nodes | rate |
      | 12    | 3    |
      | 12    | 25   |
      | 79    | 4    |

  Scenario: Retries of requests that did not run are not limited to the share for reruns
    Given 12 nodes that each take 20 requests a second for 40 s
    When every request asks for a retry
    Then at least 0.07 of the requests are granted a retry

Feature: Retries of all nodes together stay within what operators allow

  Each node spends its part of the allowance without talk. The runs that are repeated make their
  own calls again, and those count as repeats at the service that is called: one level of calls
  doubles what a retry costs.

  Scenario Outline: A service that sheds most of its load is not sent twice as much
    # Guards against retries that double the load of a service that sheds most of it.
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

  Scenario: A single failure after a quiet time is retried
    Given 12 nodes that each take 1 requests a second for 40 s
    When one request asks for a retry after 10 s
    Then it is granted

  Scenario: Retries that were not used do not pile up for a storm
    Given 12 nodes that each take 50 requests a second for 40 s
    When every request asks for a retry after 30 s
    Then twice the retries of any 10 s stay within 0.2 of the requests and 60 more

  Scenario Outline: Lookups that fail for their calls are not run again without end
    # Guards against reruns whose repeated calls break the retry allowance of the called service.
    Given <nodes> nodes that each take <rate> requests a second for 40 s
    When every request asks for a rerun, which makes 2 calls where the mean is 1.0
    And every call asks for a retry
    Then the repeats of any 10 s stay within 0.2 of the calls and 60 more

    Examples:
      | nodes | rate |
      | 12    | 3    |
      | 12    | 25   |
      | 79    | 4    |

  Scenario: A request that was turned away unrun takes nothing from those that ran
    Given 12 nodes that each take 20 requests a second for 40 s
    When every request asks for a retry
    Then at least 0.07 of the requests are granted one

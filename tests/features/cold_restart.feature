Feature: A restart of all targets under full load ends by itself

  Load pattern: all targets of two services restart cold while the load goes on, and runs of one service
  make two calls each to the other, which bears a quarter of them while it is cold.

  Scenario: Targets that are sent all they are offered crash again and again
    # Shows the pattern itself, without which the next scenarios would prove nothing.
    Given two services whose targets all restart cold after 4.0 s, and nodes that know no limit
    When the load goes on for 14.0 s
    Then targets have crashed at least 20 times
    And less than 0.6 of the most urgent requests that came from 10.0 s to 14.0 s were answered

  Scenario Outline: Targets get no more than they bear, and all is as before soon after
    # Guards against a failure that keeps itself up by the load that it causes.
    Given two services whose targets all restart cold after 4.0 s, with seed <seed>
    When the load goes on for 14.0 s
    Then no target has crashed
    And within 6.0 s of the restart as large a share of each kind is answered as before
    And the most urgent kind is never answered less often than the others

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Nobody waits for a deadline that can be known to be missed
    # Guards against requests that are queued for a cold target until their callers give up.
    Given two services whose targets all restart cold after 4.0 s, with seed 4
    When the load goes on for 10.0 s
    Then every request that was refused had its answer within 0.5 s

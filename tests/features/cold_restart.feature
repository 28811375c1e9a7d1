Feature: The fleet recovers by itself when all targets restart under full load

  Load pattern: all targets of two services restart cold while the load continues. Each request of one
  service makes two calls to the other, whose capacity while cold is a quarter of that load.

  Scenario: Without a warm-up limit the targets crash again and again
    # Shows that the load pattern causes repeated crashes; otherwise the next scenarios prove nothing.
    Given two services whose targets all restart cold after 4.0 s, without a warm-up limit
    When the load continues for 14.0 s
    Then the targets have crashed at least 20 times
    And less than 0.6 of the most urgent requests that arrived from 10.0 s to 14.0 s were answered

  Scenario Outline: With the warm-up limit no target crashes and the load is soon served as before
    # Guards against a metastable failure, which is sustained by the load that it causes itself.
    Given two services whose targets all restart cold after 4.0 s, with seed <seed>
    When the load continues for 14.0 s
    Then no target has crashed
    And within 6.0 s of the restart as large a share of each kind is answered as before
    And the most urgent kind is never answered less often than the others

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A request that can't meet its deadline is refused early
    # Guards against requests that are queued for a cold target until their callers time out.
    Given two services whose targets all restart cold after 4.0 s, with seed 4
    When the load continues for 10.0 s
    Then every refused request was refused within 0.5 s

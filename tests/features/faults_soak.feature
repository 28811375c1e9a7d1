Feature: Guarantees under random faults on real processes

  Short runs of the fault soak test with fixed seeds; `make faults` runs new seeds for a given time.

  Scenario Outline: No guarantee is violated
    # Processes are killed, frozen and stopped, also several times in a row, targets advertise rate
    # limits, leave and crash, the store is unreachable or slow, hides changes or loses its history,
    # and new configuration versions are published, while callers keep sending requests over
    # connections that they keep.
    When seed <seed> is run for 12 s
    Then no guarantee was violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

    # These seeds have failed before.
    Examples: A node was killed that nothing started again
      | seed |
      | 113  |

Feature: Guarantees under random faults on real processes

  Short runs of the fault soak test with fixed seeds; `make faults` runs new seeds for a given time.

  Scenario Outline: No guarantee is violated
    # Processes are killed, frozen and stopped, targets crash and leave, the store is unreachable or
    # slow, hides changes or loses its history, and new configuration versions are published, while
    # callers keep sending requests.
    When seed <seed> is run for 6 s
    Then no guarantee was violated

    Examples:
      | seed |
      | 1    |
      | 2    |

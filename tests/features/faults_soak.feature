Feature: Promises under random faults on real processes

  Short seeded runs of the soak; `make faults` plays fresh seeds for as long as wanted.

  Scenario Outline: No promise is broken
    # Processes are killed, frozen and stopped, targets crash and leave, the store is cut, deaf, slow
    # and forgetful, and versions follow each other, while callers go on.
    When seed <seed> is played for 6 s
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |

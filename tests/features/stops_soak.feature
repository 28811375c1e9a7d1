Feature: Guarantees while nodes stop, hosts lose power and the configuration changes

  Short runs with fixed seeds; `make stops` runs new seeds by hand.

  Scenario Outline: No guarantee is violated
    # Nodes get series of signals, hosts lose power, also all that poll the store, and the
    # configuration changes in between, while callers send long and short requests over connections
    # that they keep.
    When seed <seed> of stops is run for 10 s
    Then no guarantee was violated by stops

    Examples:
      | seed |
      | 1    |
      | 2    |

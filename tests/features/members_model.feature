Feature: Hosts know each other's state correctly in every order of events

  Scenario Outline: Every order of sending, suspecting, refuting, leaving, restarting and forgetting
    # Guards against a dead or left process that counts as live again, and against a live one that
    # counts as gone.
    When the model of members is checked with <tells> messages, <restarts> restarts and <doubles> duplicates
    Then the 7 properties of members hold in all states

    Examples:
      | tells | restarts | doubles |
      | 1     | 2        | 0       |
      | 1     | 1        | 1       |

  Scenario: Every order, where each process starts with a clock behind that of its predecessor
    # Guards against a replacement that is rejected for good because it seems older.
    When the model of members is checked with clocks that are behind
    Then the 5 properties of members hold in all states

  Scenario Outline: A safeguard left out of the model of members is found
    # Guards against a model whose properties hold whatever the protocol does.
    When the model of members is checked without its safeguard: <mutant>
    Then a shortest trace shows a violated property of members

    Examples:
      | mutant                      |
      | take_overtaken_status       |
      | take_older_incarnation      |
      | remember_heard_incarnations |
      | keep_suspicion              |
      | suspect_any_incarnation     |
      | ignore_suspicion            |
      | refute_without_sequence     |
      | reuse_incarnation           |
      | forget_early                |
      | never_outbid                |

  Scenario Outline: Random runs of the code itself: <clocks>
    # Guards against code that differs from the model. The runs have loss, delay, reordering,
    # duplicates, network cuts, suspended hosts, kills, restarts and leaves; the examples are fixed.
    When six hosts run <examples> random examples, <clocks>
    Then no property of the hosts is violated

    Examples:
      | clocks                         | examples |
      | with clocks in order           | 40       |
      | with each clock further behind | 15       |

  Scenario Outline: A safeguard left out of the members' code is found by random runs
    # Guards against random runs that pass whatever the code does.
    When six hosts run random examples without their safeguard: <mutant>
    Then a property of the hosts is violated

    Examples:
      | mutant             |
      | take_overtaken     |
      | take_older         |
      | remember_heard     |
      | keep_suspicion     |
      | suspect_any        |
      | suspect_just_heard |
      | never_outbid       |
      | never_seek         |

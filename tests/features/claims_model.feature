Feature: The protocol of claims holds in every order of events

  Scenario: Every order of two sends, with lost and late messages and a crash
    # From an empty table, and from a claim that an earlier refused send left void.
    When the model of claims is checked exhaustively
    Then its 3 properties hold in all of its states

  Scenario Outline: A safeguard left out of the model is found
    When the model of claims is checked without its safeguard: <mutant>
    Then a shortest trace shows what goes wrong

    Examples:
      | mutant                      |
      | drop_void                   |
      | drop_read_back              |
      | dispatch_on_unknown         |
      | take_over_running           |
      | take_over_gone              |
      | reuse_attempt               |
      | not_run_unproven            |
      | overwrite_without_comparing |
      | forgotten_is_void           |

  Scenario: Random runs of the code itself
    # The claim books that the node runs, with a fake clock, table, network and target: loss,
    # delay, reordering, kills and pauses. The same examples each time.
    When the claim books run 150 random examples
    Then no invariant of theirs is broken

  Scenario Outline: A safeguard left out of the code is found by random runs
    When the claim books run random examples without their safeguard: <mutant>
    Then an assertion fails

    Examples:
      | mutant            |
      | DispatchOnUnknown |
      | TakeOverOpen      |
      | TakeOverRunning   |
      | SayNotRunUnproven |
      | IgnoreDigest      |
      | UnknownIsVoid     |

  Scenario: The claim of an owner that died is not taken over
    # The owner dispatches the call and dies before it can say so. Its claim is still open. A
    # resend through another node finds it; were it taken over, the call would run twice.
    When the owner of a running call dies and its key is sent to another node
    Then the call has run once, and twice if the safeguard is left out

  Scenario: What was learnt before a waiter came proves nothing to it
    # A claim of a void key is being taken over. Another node takes it over first and runs it.
    # Only then does a second caller join the first claim, whose answers are all lost.
    When a waiter joins a takeover that another node has won and run
    Then the waiter is told OUTCOME_UNKNOWN, and NOT_RUN if the safeguard is left out

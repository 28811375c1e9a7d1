Feature: The claim protocol keeps its invariants in every order of events

  Scenario: Every order of two sends, with lost and late messages and a crash
    # Starts from an empty table, and from a claim that was voided when an earlier send was refused.
    When the claim protocol's model is checked exhaustively
    Then its 3 properties hold in all of its states

  Scenario Outline: The model checker finds a removed safeguard
    When the claim protocol's model is checked without its safeguard: <mutant>
    Then a shortest trace shows the violation

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

  Scenario: Random runs of the code keep every invariant
    # The claim trackers of the nodes run with a fake clock, table, network and target, under loss,
    # delay, reordering, kills and pauses. The random examples are the same each time.
    When the claim trackers run 150 random examples
    Then none of their invariants is broken

  Scenario Outline: Random runs find a safeguard removed from the code
    When the claim trackers run random examples without their safeguard: <mutant>
    Then an assertion fails

    Examples:
      | mutant            |
      | DispatchOnUnknown |
      | TakeOverOpen      |
      | TakeOverRunning   |
      | SayNotRunUnproven |
      | IgnoreDigest      |
      | UnknownIsVoid     |

  Scenario: The claim of an owner that crashed is not taken over
    # The owner dispatches the call and crashes before it records that. Its claim is still open. The
    # caller sends the key again through another node: if that took the claim over, the call would
    # run twice.
    When the owner of a running call is killed and its key is sent to another node
    Then the call has run once, and twice if the safeguard is removed

  Scenario: A read from before a waiter joined does not prove that its call has not run
    # A node takes over a void claim. Another node takes it over first and runs the call. Only then
    # does a second caller join the first node's attempt, to which all answers are lost.
    When a waiter joins a takeover after another node has taken over and run the call
    Then the waiter is told OUTCOME_UNKNOWN, and NOT_RUN if the safeguard is removed

Feature: The node's loop

  Scenario: A fault in one callback leaves the loop running
    # One call's code raises in a timer and another's on a socket. Ended by it, the loop would cut
    # off every call of the node.
    Given a loop of a node
    When a timer's callback fails and a socket's callback fails
    Then a later timer still runs and both faults were reported

  Scenario: Cancelled timers leave the memory
    # Every call has a timer for its deadline, mostly cancelled long before it is due. Kept until
    # then, a minute's calls would stay in memory.
    Given a loop of a node
    When 10000 timers of a minute are set and cancelled, with 10 others between them
    Then fewer than 200 timers are kept and the 10 others among them

  Scenario: A cancelled timer wakes nobody
    # Nearly every deadline is cancelled. If the loop still woke at each, a node would turn more often
    # for what is over than for what is due.
    Given a loop of a node
    When 20 timers that are due 5 ms apart are cancelled before another one
    Then the loop wakes only for the other one

  Scenario: A listener without descriptors to spare takes the callers later
    # The process has no descriptor left, so a caller can't be taken. The listener stays readable:
    # asked again at once each time, the loop would spin at a full core.
    Given a loop of a node
    When a caller comes while no descriptor is left
    Then the listener rests
    And takes the caller when there are descriptors again

  Scenario: A signal's handler does not touch the timers
    Given a loop of a node
    When an interruption comes from a signal's handler
    Then its callback runs in the loop's next turn

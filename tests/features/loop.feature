Feature: The node's loop

  Scenario: An exception in a callback does not stop the loop
    # One call's code raises in a timer and another one's on a socket. If the loop ended, every call
    # of the node would be lost.
    Given a loop of a node
    When a timer's callback raises and a socket's callback raises
    Then a later timer still runs and both exceptions were reported

  Scenario: Cancelled timers are removed from memory
    # Every call has a timer for its deadline, which is usually cancelled long before it is due. If
    # timers were kept until then, the calls of the last minute would stay in memory.
    Given a loop of a node
    When 10000 timers of one minute are set and cancelled, with 10 others between them
    Then fewer than 200 timers are kept and the 10 others among them

  Scenario: A cancelled timer does not wake the loop
    # Nearly every deadline is cancelled. If the loop still woke for each, a node would wake more
    # often for cancelled timers than for those that are due.
    Given a loop of a node
    When 20 timers that are due 5 ms apart are cancelled before another one
    Then the loop wakes only for the other one

  Scenario: A listener without free file descriptors accepts callers later
    # The process has no file descriptor left, so accept fails. The listener stays readable: if the
    # loop retried at once each time, it would keep a core busy.
    Given a loop of a node
    When a caller connects while no file descriptor is left
    Then the listener pauses
    And accepts the caller when there are file descriptors again

  Scenario: A signal handler does not change the timers
    Given a loop of a node
    When a signal handler schedules a callback
    Then its callback runs in the loop's next iteration

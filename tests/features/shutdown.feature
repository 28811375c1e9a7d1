Feature: The plan of a node's graceful stop

  Scenario Outline: A stop ends before the process is killed, with time for each of its steps
    # Guards against a node that is killed in the middle of its stop because the grace period is short.
    Given a node that is told to stop, with a grace period of <grace> s
    Then its target, its callers and its process end in this order, before it is killed
    And its process ends in the last sixth of the grace period
    And its callers are drained within 3 s and within half of the grace period

    Examples:
      | grace |
      | 0.2   |
      | 1     |
      | 2     |
      | 6     |
      | 10    |
      | 120   |

  Scenario Outline: A request that is taken after SIGTERM outlasts no exit
    # Guards against requests and transfers that are cut off when the node that took them exits.
    Given a node that is told to stop, with a grace period of <grace> s
    When 20000 requests with timeouts of up to 3 grace periods arrive until its exit
    Then each that starts expires before the exit
    And each that expires before the exit is started
    And none is started that usually takes longer than the time until the exit

    Examples:
      | grace |
      | 0.2   |
      | 1     |
      | 6     |
      | 10    |
      | 120   |

  Scenario: Callers of a stopping node retry after its successor has started, and not all at once
    # Guards against retries that a stopping node refuses again, and that come back as one burst.
    Given 200 callers refused by a node that exits in 800 ms at the latest
    Then all retry between 1300 and 2300 ms
    And no tenth of the interval holds more than a fifth of their retries

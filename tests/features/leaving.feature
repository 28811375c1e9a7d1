Feature: A target that leaves, with real processes

  Scenario Outline: A target stops while it works
    # The caller's order takes two seconds when the target gets SIGTERM. The target asks to leave,
    # its node lets nothing more in, the order is finished and answered, and only then the target
    # is told that it is empty and ends. Cut off, the caller would not know whether the order ran.
    Given a deployment with two targets of counter and one of orders
    And the platform is <platform>
    And a call of POST /orders?key=k1&work_ms=2000 for orders is in flight through a1
    When target c1 gets SIGTERM
    Then the call in flight is answered 200 by c1
    And the process target-c1 is gone with status 0
    And target c1 was told that it is empty with 0 calls in flight

    Examples:
      | platform |
      | up       |
      | down     |

  Scenario: A leaving target receives nothing more from the moment it asked
    # Three entry nodes send lookups without a pause and have not heard of the leave. Whatever
    # they send is turned away at the target's gate as not run, and goes to the other target.
    Given a deployment with two targets of counter and one of orders
    And lookups for counter run without a pause through a1, b1 and c1
    When target b1 asks its node to leave
    Then target b1 receives nothing more while the lookups go on
    And every lookup was served or turned away as not run, and the last ones were served
    When target b1 asks its node to stay
    Then target b1 receives lookups again

  Scenario: A target that asked to leave is replaced
    # The target that asked to leave comes back as a new process: its wish is fulfilled.
    Given a deployment with two targets of counter and one of orders
    When target b1 asks its node to leave
    And target b1 is replaced by a new process
    Then a lookup is served by target b1 again

  Scenario: A target dies while it leaves
    # Its order is lost with it, and the caller is told that the outcome is unknown. The node sees
    # that the target has ended, and takes the next process as a new one.
    Given a deployment with two targets of counter and one of orders
    And a call of POST /orders?key=k2&work_ms=20000 for orders is in flight through a1
    When target c1 asks its node to leave
    And target c1 is killed
    Then the call in flight is refused with code 212 and OUTCOME_UNKNOWN
    And node c1 turns calls for orders away with code 205
    When target c1 is started
    Then a call for orders through a1 is served by c1

  Scenario: A node is replaced while its target leaves
    # The new process of the node knows nothing of the leave, while others remember that its
    # target leaves and send it nothing: left alone, the target would stay idle for good.
    Given a deployment with two targets of counter and one of orders
    When target b1 asks its node to leave
    And the news of it has reached a1
    And node b1 is killed and started
    Then a lookup is served by target b1 again

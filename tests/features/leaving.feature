Feature: Graceful shutdown of a target, with real processes

  Scenario Outline: A target is stopped while it runs a request
    # The target gets SIGTERM while it runs an order of two seconds. The target asks to leave, its
    # node admits no more requests, the order is finished and answered, and only then is the target
    # told that it is empty, and ends. If it ended earlier, the caller would not know whether the
    # order ran.
    Given a deployment with two targets of counter and one of orders
    And the platform is <platform>
    And a call of POST /orders?key=k1&work_ms=2000 for orders is in flight through a1
    When target c1 gets SIGTERM
    Then the call in flight is answered 200 by c1
    And the process target-c1 has ended with status 0
    And target c1 was told that it is empty with 0 calls in flight

    Examples:
      | platform |
      | up       |
      | down     |

  Scenario: A leaving target receives no more requests once it has asked to leave
    # Three entry nodes send lookups continuously and do not know of the leave yet. What they send
    # to the target is refused by its node as not run, and goes to the other target.
    Given a deployment with two targets of counter and one of orders
    And lookups for counter run continuously through a1, b1 and c1
    When target b1 asks its node to leave
    Then target b1 receives nothing more while the lookups continue
    And every lookup was served or refused as not run, and the last ones were served
    When target b1 asks its node to stay
    Then target b1 receives lookups again

  Scenario: A target that asked to leave is replaced
    # The target that asked to leave is followed by a new process, to which the request to leave
    # does not apply.
    Given a deployment with two targets of counter and one of orders
    When target b1 asks its node to leave
    And target b1 is replaced by a new process
    Then a lookup is served by target b1 again

  Scenario: A target crashes while it leaves
    # The order is lost, and the caller is answered OUTCOME_UNKNOWN. The node notices
    # that the target has ended, and treats the next process as a new one.
    Given a deployment with two targets of counter and one of orders
    And a call of POST /orders?key=k2&work_ms=20000 for orders is in flight through a1
    When target c1 asks its node to leave
    And target c1 is killed
    Then the call in flight is refused with code 212 and OUTCOME_UNKNOWN
    And node c1 refuses calls for orders with code 205
    When target c1 is started
    Then a call for orders through a1 is served by c1

  Scenario: A node is replaced while its target leaves
    # The new process of the node does not know of the leave, while the other nodes remember that
    # its target is leaving and send it nothing. Without a correction the target would stay idle.
    Given a deployment with two targets of counter and one of orders
    When target b1 asks its node to leave
    And the leave has become known to a1
    And node b1 is killed and started
    Then a lookup is served by target b1 again

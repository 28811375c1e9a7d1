Feature: Work under a caller's key runs at most once

  @fixture.orders_deployment
  Scenario: A resend gets the same answer and does not run again
    # The caller lost its answer and sends again, first to the same node and then to another. The
    # one that took the key remembers the answer; the other asks it.
    When order k1 is sent to node a1
    And order k1 is sent to node a1 again
    And order k1 is sent to node b1 again
    Then all answers are the same, with status 200
    And order k1 has run 1 time

  @fixture.orders_deployment
  Scenario: Two callers with the same key at once
    # Two nodes take the same key in the same moment. One inserts the claim; the other finds it,
    # asks its owner and waits for the one run's answer.
    When order k2 working 300 ms is sent to nodes a1 and b1 at once
    Then all answers are the same, with status 200
    And order k2 has run 1 time

  @fixture.orders_deployment
  Scenario: A resend to another node while the first still works
    When order k3 working 700 ms is begun at node a1
    And order k3 working 700 ms is sent to node b1 when it runs
    And the begun order is answered
    Then all answers are the same, with status 200
    And order k3 has run 1 time

  @fixture.orders_deployment
  Scenario: A key is used for another order
    When order k4 is sent to node a1
    And order k4 with another body is sent to node a1
    Then it is refused with code 242 and NOT_RUN
    When order k4 with another body is sent to node b1
    Then it is refused with code 242 and NOT_RUN
    And order k4 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim took effect and its answer was lost
    # Without reading back, the node would refuse and nobody could run the key again.
    Given the platform loses the answer of 1 claim
    When order k5 is sent to node a1
    Then all answers are the same, with status 200
    And order k5 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim took effect, and its answer and the reading back were lost
    # The caller hears NOT_RUN, though the claim is in the table. Its attempt is void for ever
    # before the answer leaves, so a resend elsewhere learns that from the owner and takes over.
    Given the platform loses the answer of 1 claim and 1 read
    When order k6 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN
    And order k6 has run 0 times
    When order k6 is sent to node b1 again
    Then it is answered with status 200
    And order k6 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim takes effect late, after NOT_RUN was said
    # The platform holds the claim and the later mark that it is void; the node gives up, reads
    # nothing and refuses. Then both take effect, in their order.
    Given the platform holds 2 claims
    When order k7 is sent to node a1
    Then it is refused with code 241 and NOT_RUN
    When the platform holds 2 and releases them
    Then order k7 has run 0 times
    When order k7 is sent to node b1 again
    Then it is answered with status 200
    And order k7 has run 1 time

  @fixture.orders_deployment
  Scenario: A resend during an outage is not told NOT_RUN when the first one ran
    # The order ran through a1. Its caller lost the answer and asks b1, which cannot reach the
    # table. NOT_RUN would make the caller order again under a new key: two pallets.
    When order k8 is sent to node a1
    Given the table refuses everything
    When order k8 is sent to node b1 again
    Then it is refused with code 241 and OUTCOME_UNKNOWN
    When order k8 is sent to node a1 again
    Then it is answered with status 200
    And order k8 has run 1 time

  @fixture.orders_deployment
  Scenario: The table is down for long
    # Keyed work is refused with a time to come back; lookups do not need the table.
    Given the table refuses everything
    When order k9 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN and a time to come back
    And 20 lookups through node a1 are served
    Given the table is well again
    When order k9 is sent until it is taken at node a1
    Then it is answered with status 200
    And order k9 has run 1 time

  @fixture.orders_deployment
  Scenario: The table is slow
    # Each answer takes longer than the client waits, so every claim is in doubt, takes effect
    # late and must never be dispatched.
    Given each answer of the table takes 900 ms
    When order k10 is sent to node a1 3 times, with other keys in between
    Then none is answered, and those told NOT_RUN have not run
    Given the table is well again
    When order k10 is sent until it is taken at node b1
    Then order k10 has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node is killed between the claim and the dispatch
    # The claim is in the table, its answer is held, and its owner dies. Nobody can know that it
    # had not dispatched, so the key never runs; the caller hears OUTCOME_UNKNOWN, not NOT_RUN.
    Given the platform holds the answer of 1 claim
    When order k11 is begun at node a1
    And the platform has held 1
    And node-a1 is killed
    And order k11 is sent to node b1 again
    Then it is refused as OUTCOME_UNKNOWN with code 322 or 323
    When node a1 is started anew
    And order k11 is sent to node a1 until refused with code 322
    Then order k11 has run 0 times

  @fixture.orders_deployment
  Scenario: The entry node is killed while the target works
    When order k12 working 600 ms is begun at node a1
    And it runs
    And node-a1 is killed
    And order k12 working 600 ms is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN with code 322 or 323
    And order k12 has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node is frozen between the claim and the dispatch
    # A paused holder must not be taken for a dead one: were its claim taken over, it would wake
    # up, get the claim's answer and dispatch as well.
    Given the platform holds the answer of 1 claim
    When order k13 is begun at node a1
    And the platform has held 1
    And node-a1 gets SIGSTOP
    And order k13 is sent to node b1 with a deadline of 1500 ms
    Then it is refused as OUTCOME_UNKNOWN with code 323 or 301
    When the platform releases everything
    And node-a1 gets SIGCONT
    And order k13 is sent until it is answered at node b1
    Then order k13 has run at most 1 time

  @fixture.orders_deployment
  Scenario: The entry node is frozen while the target works
    When order k14 working 500 ms is begun at node a1
    And it runs
    And node-a1 gets SIGSTOP
    And order k14 working 500 ms is sent to node b1 with a deadline of 1500 ms
    Then it is refused as OUTCOME_UNKNOWN with code 323 or 301
    When node-a1 gets SIGCONT
    And the begun order is answered
    And order k14 working 500 ms is sent to node b1
    Then the last two answers are the same, with status 200
    And order k14 has run 1 time

  @fixture.orders_deployment
  Scenario: The target's node is killed while the target works
    When order k15 working 500 ms is begun at node a1
    And it runs
    And the node beside the running target is killed
    And the begun order is answered
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 301
    When order k15 working 500 ms is sent to node a1
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 301
    When order k15 working 500 ms is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 328
    And order k15 has run 1 time

  @fixture.orders_deployment
  Scenario: The target dies in the middle
    # The other target of the service must not get the order that may have run at the first.
    When order k16 that crashes its target is sent to node a1
    Then it is refused as OUTCOME_UNKNOWN
    When order k16 that crashes its target is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN
    And exactly 1 target of orders is dead

  @fixture.orders_deployment
  Scenario: Two faults at once, twice
    # The claim's answer is lost and its owner dies; the resend's claim is in doubt as well, and
    # that owner is frozen. Whatever is said, nothing runs twice, and nothing after NOT_RUN.
    Given the platform loses the answer of 1 claim and 1 read
    When order k17 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN
    When node-a1 is killed
    Given the platform loses the answer of 1 claim and 1 read
    When order k17 is sent to node b1 again
    And node-b1 gets SIGSTOP
    And node a1 is started anew
    And order k17 is sent to node a1 with a deadline of 1500 ms
    And node-b1 gets SIGCONT
    And order k17 is sent to node a1 again
    Then order k17 has run at most 1 time

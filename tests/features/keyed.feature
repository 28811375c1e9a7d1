Feature: A request with an idempotency key runs at most once

  @fixture.orders_deployment
  Scenario: A retry gets the same answer and does not run again
    # The caller lost its answer and retries, first at the same node and then at another one. The
    # node that claimed the key remembers the answer; the other node asks it.
    When order k1 is sent to node a1
    And order k1 is sent to node a1 again
    And order k1 is sent to node b1 again
    Then all answers are the same, with status 200
    And order k1 has run 1 time

  @fixture.orders_deployment
  Scenario: Two callers with the same key at once
    # Two nodes claim the same key at the same moment. One inserts the claim; the other finds it,
    # asks its owner and waits for the answer of the only run.
    When order k2 working 300 ms is sent to nodes a1 and b1 at once
    Then all answers are the same, with status 200
    And order k2 has run 1 time

  @fixture.orders_deployment
  Scenario: A retry at another node while the first request still runs
    When order k3 working 700 ms is started at node a1
    And order k3 working 700 ms is sent to node b1 when it runs
    And the started order is answered
    Then all answers are the same, with status 200
    And order k3 has run 1 time

  @fixture.orders_deployment
  Scenario: A key is reused for another order
    When order k4 is sent to node a1
    And order k4 with another body is sent to node a1
    Then it is refused with code 242 and NOT_RUN
    When order k4 with another body is sent to node b1
    Then it is refused with code 242 and NOT_RUN
    And order k4 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim takes effect and its answer is lost
    # If the node didn't read the claim back, it would refuse and the key could never run again.
    Given the platform loses the answer of 1 claim
    When order k5 is sent to node a1
    Then all answers are the same, with status 200
    And order k5 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim takes effect, and both its answer and the read that checks it are lost
    # The caller is answered NOT_RUN although the claim is in the table. The attempt is voided for
    # good before that answer is sent, so that a retry elsewhere learns this from the owner and
    # takes the key over.
    Given the platform loses the answer of 1 claim and 1 read
    When order k6 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN
    And order k6 has run 0 times
    When order k6 is sent to node b1 again
    Then it is answered with status 200
    And order k6 has run 1 time

  @fixture.orders_deployment
  Scenario: The claim takes effect after the caller was answered NOT_RUN
    # The platform delays the claim and the later mark that voids it; the node times out, reads no
    # row and refuses. Then both writes take effect, in their order.
    Given the platform holds 2 claims
    When order k7 is sent to node a1
    Then it is refused with code 241 and NOT_RUN
    When the platform holds 2 and releases them
    Then order k7 has run 0 times
    When order k7 is sent to node b1 again
    Then it is answered with status 200
    And order k7 has run 1 time

  @fixture.orders_deployment
  Scenario: A retry during an outage is not answered NOT_RUN when the first request ran
    # The order ran through a1. Its caller lost the answer and retries at b1, which cannot reach
    # the table. NOT_RUN would make the caller send the order again under a new key, so that it is
    # carried out twice.
    When order k8 is sent to node a1
    Given the table refuses everything
    When order k8 is sent to node b1 again
    Then it is refused with code 241 and OUTCOME_UNKNOWN
    When order k8 is sent to node a1 again
    Then it is answered with status 200
    And order k8 has run 1 time

  @fixture.orders_deployment
  Scenario: The table is down for a long time
    # Requests with a key are refused with a time to retry; lookups do not need the table.
    Given the table refuses everything
    When order k9 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN and a time to retry
    And 20 lookups through node a1 are served
    Given the table works again
    When order k9 is sent until it is accepted at node a1
    Then it is answered with status 200
    And order k9 has run 1 time

  @fixture.orders_deployment
  Scenario: The table is slow
    # Each answer takes longer than the client's timeout, so the outcome of every claim is unknown;
    # the claim takes effect late and must never be dispatched.
    Given each answer of the table takes 900 ms
    When order k10 is sent to node a1 3 times, with other keys in between
    Then none succeeds, and those answered NOT_RUN have not run
    Given the table works again
    When order k10 is sent until it is accepted at node b1
    Then order k10 has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node is killed between the claim and the dispatch
    # The claim is in the table, its answer is delayed, and its owner is killed. No other node can
    # know that the owner had not dispatched, so the key never runs and the caller is answered
    # OUTCOME_UNKNOWN, not NOT_RUN.
    Given the platform holds the answer of 1 claim
    When order k11 is started at node a1
    And the platform has held 1
    And node-a1 is killed
    And order k11 is sent to node b1 again
    Then it is refused as OUTCOME_UNKNOWN with code 322 or 323
    When node a1 is restarted
    And order k11 is sent to node a1 until refused with code 322
    Then order k11 has run 0 times

  @fixture.orders_deployment
  Scenario: The entry node is killed while the target runs the order
    When order k12 working 600 ms is started at node a1
    And it runs
    And node-a1 is killed
    And order k12 working 600 ms is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN with code 322 or 323
    And order k12 has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node is frozen between the claim and the dispatch
    # A suspended owner must not be taken for a dead one: if its claim were taken over, it would
    # resume, get the claim's answer and dispatch as well.
    Given the platform holds the answer of 1 claim
    When order k13 is started at node a1
    And the platform has held 1
    And node-a1 gets SIGSTOP
    And order k13 is sent to node b1 with a deadline of 1500 ms
    Then it is refused as OUTCOME_UNKNOWN with code 323 or 301
    When the platform releases everything
    And node-a1 gets SIGCONT
    And order k13 is sent until it is answered at node b1
    Then order k13 has run at most 1 time

  @fixture.orders_deployment
  Scenario: The entry node is frozen while the target runs the order
    When order k14 working 500 ms is started at node a1
    And it runs
    And node-a1 gets SIGSTOP
    And order k14 working 500 ms is sent to node b1 with a deadline of 1500 ms
    Then it is refused as OUTCOME_UNKNOWN with code 323 or 301
    When node-a1 gets SIGCONT
    And the started order is answered
    And order k14 working 500 ms is sent to node b1
    Then the last two answers are the same, with status 200
    And order k14 has run 1 time

  @fixture.orders_deployment
  Scenario: The target's node is killed while the target runs the order
    When order k15 working 500 ms is started at node a1
    And it runs
    And the node of the running target is killed
    And the started order is answered
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 301
    When order k15 working 500 ms is sent to node a1
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 301
    When order k15 working 500 ms is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN with code 305 or 328
    And order k15 has run 1 time

  @fixture.orders_deployment
  Scenario: The target crashes while it runs the order
    # The other target of the service must not get the order, which may have run at the first one.
    When order k16 that crashes its target is sent to node a1
    Then it is refused as OUTCOME_UNKNOWN
    When order k16 that crashes its target is sent to node b1
    Then it is refused as OUTCOME_UNKNOWN
    And exactly 1 target of orders has ended

  @fixture.orders_deployment
  Scenario: Two concurrent faults, twice
    # The claim's answer is lost and its owner is killed; the outcome of the retry's claim is
    # unknown as well, and its owner is frozen. Whatever the answers are, nothing runs twice, and
    # nothing runs that was answered NOT_RUN.
    Given the platform loses the answer of 1 claim and 1 read
    When order k17 is sent for the first time to node a1
    Then it is refused with code 241 and NOT_RUN
    When node-a1 is killed
    Given the platform loses the answer of 1 claim and 1 read
    When order k17 is sent to node b1 again
    And node-b1 gets SIGSTOP
    And node a1 is restarted
    And order k17 is sent to node a1 with a deadline of 1500 ms
    And node-b1 gets SIGCONT
    And order k17 is sent to node a1 again
    Then order k17 has run at most 1 time

  @fixture.orders_deployment
  Scenario: A caller's deadline passes while a retry waits for its claim
    # Found by random runs (seed 1026). The first caller declares its first attempt, and its
    # deadline passes while the claim's answer is delayed. NOT_RUN would be wrong: a retry waits for
    # that same attempt, which then runs.
    Given the platform holds the answer of 1 claim
    When order k18 is started for the first time at node a1 with a deadline of 300 ms
    And the platform has held 1
    And order k18 is sent to node a1 while the first request waits
    Then the first caller was not answered NOT_RUN if order k18 has run

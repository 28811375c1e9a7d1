Feature: The parts of the entry node's decisions, each alone

  Scenario: A chain of 25 services over a failing one is not multiplied
    # The lowest service fails. Each level sees its call fail and could make it again; every level
    # that does doubles the calls below it, and the lowest would get 2^25 for one.
    When a call goes down 25 levels to a service that always fails
    Then the lowest service is called at most twice
    But without the token that travels with the call it is called more than 100 times

  Scenario: Retries stay a share of the fresh calls during an outage
    # A service is down for 1,000 calls. Every one of them would be tried again, and the retries
    # alone would keep the service down after the cause is gone.
    When 1000 lookups fail one after another with a retry share of 0.1
    Then at most 101 of them are retried

  Scenario Outline: What is tried again and what is not
    # An order that may have run must not run again; a billed farmer pays for tags twice.
    When <method> ends with <result>
    Then it <is> tried again

    Examples:
      | method | result                  | is     |
      | GET    | status 503              | is     |
      | GET    | status 404              | is not |
      | GET    | status 501              | is not |
      | POST   | status 503              | is not |
      | POST   | TARGET_LOST unknown     | is not |
      | POST   | QUEUE_FULL not run      | is     |
      | GET    | TARGET_LOST unknown     | is     |
      | GET    | a failure retried below | is not |

  Scenario: A retry is not made when its answer would come too late
    When GET fails with 20 ms left where an answer takes 25 ms
    Then it is not tried again

  Scenario: An order whose target hangs up runs once and ends as unknown
    # The target takes the order and the deadline passes. Sent again it could run twice.
    When an order is sent that its target works on beyond the deadline
    Then the targets have run it once and its outcome is OUTCOME_UNKNOWN

  Scenario: Attempt ids are never reused, whatever is spilled, retried or hedged
    When a pattern with spills, retries and hedges is played
    Then no two attempts had the same id

  Scenario: A failing target is taken out and returns slowly
    # Three failures in a row eject it, a first failure after its return does so for twice as long.
    When target t0 of six fails three times in a row
    Then it is ejected for 0.75 to 1.25 seconds
    And after that it carries a tenth of its weight at first
    And one more failure ejects it for 1.5 to 2.5 seconds

  Scenario: Never more than a third of the targets is out
    # A fault in the callers' own requests fails everywhere at different moments. Ejecting each
    # target in its turn would leave the last one with all the load.
    When five of six targets fail one after another
    Then 2 of them are ejected

  Scenario: A failure that all targets share ejects none
    When all six targets fail by turns
    Then 0 of them are ejected

  Scenario Outline: What speaks against a target
    When a target gives <result>
    Then it <does> speak against it

    Examples:
      | result                  | does     |
      | status 400              | does not |
      | status 404              | does not |
      | status 500              | does     |
      | QUEUE_FULL not run      | does not |
      | DEADLINE_UNREACHABLE    | does not |
      | TARGET_LOST unknown     | does     |
      | a failure retried below | does not |

  Scenario: A report that was held up on its way does not replace a newer one
    # A peer is paused with its answer in a buffer; when it wakes, the old report says "idle" and
    # would draw every call there.
    When a report of 9 calls arrives and then one made 400 ms earlier that says 0
    Then the view still says 9

  Scenario: A report that was held up counts as old at once
    When a first report arrives in 1 ms and a second one is 400 ms on its way
    Then the second one's age is about 399 ms

  Scenario: A changed weight is shifted at a bounded rate
    When the weight of a target goes from 1 to 0 in the configuration
    Then its weight is 0.5 after 2 seconds and 0 after 4 seconds

  Scenario: Links to a target stay below the limit at the full size
    # 2,100 entry nodes that choose at random among 300 targets, or all of them, would exceed the
    # 250 connections that a target's host allows.
    When 2100 entry nodes choose their subsets of 300 targets
    Then no target is chosen by more than 250 of them
    And every entry node has at least 3 targets
    And a target that leaves changes only the subsets that held it

  Scenario: Probing never exceeds its budget, whatever happens
    # Everything fails at once: no probe is answered, every call asks for one, peers ask too.
    Then for any run of calls, probes and silences the bytes and processor time stay in the budget
    But a budget that is not enforced is caught by the assertion in the program

Feature: The mechanisms behind the entry node's decisions, each tested alone

  Scenario: Retries are not multiplied along a chain of 25 services
    # The last service of the chain fails. Each level sees its call fail and could retry it. Every
    # level that does doubles the calls below it, and the last service would get 2^25 calls for one.
    When a call passes 25 levels down to a service that always fails
    Then the last service is called at most twice
    But without the retry token in the call's headers it is called more than 100 times

  Scenario: Retries stay a share of the first attempts during an outage
    # A service is down for 1,000 calls. If each of them were retried, the retries alone would keep
    # the service down after the cause is gone.
    When 1000 lookups fail one after another with a retry share of 0.1
    Then at most 101 of them are retried

  Scenario Outline: Which failed calls are retried
    # Guards against an order that is run, and billed, twice: what may have run must not run again.
    When <method> ends with <result>
    Then it <is> retried

    Examples:
      | method | result                       | is     |
      | GET    | status 503                   | is     |
      | GET    | status 404                   | is not |
      | GET    | status 501                   | is not |
      | POST   | status 503                   | is not |
      | POST   | TARGET_LOST unknown          | is not |
      | POST   | QUEUE_FULL not run           | is     |
      | GET    | TARGET_LOST unknown          | is     |
      | GET    | a failure retried downstream | is not |

  Scenario: A retry is not made when its answer would come too late
    When GET fails with 20 ms left where an answer takes 25 ms
    Then it is not retried

  Scenario: An order that runs beyond its deadline runs once and ends as unknown
    # The deadline passes while the target runs the order. A retry could run it twice.
    When an order is sent that its target runs beyond the deadline
    Then the targets have run it once and its outcome is OUTCOME_UNKNOWN

  Scenario: Attempt ids are never reused by spills, retries and hedges
    When a load pattern with spills, retries and hedges is simulated
    Then no two attempts had the same id

  Scenario: A failing target is ejected and its weight returns slowly
    # Three failures in a row eject it; the first failure after its return ejects it for twice as long.
    When target t0 of six fails three times in a row
    Then it is ejected for 0.75 to 1.25 seconds
    And after that it has a tenth of its weight at first
    And one more failure ejects it for 1.5 to 2.5 seconds

  Scenario: Never more than a third of the targets is ejected
    # Requests that are faulty themselves fail at every target, at different times. If each target
    # were ejected for that, the last one would get all the load.
    When five of six targets fail one after another
    Then 2 of them are ejected

  Scenario: A failure of all targets ejects none
    When all six targets fail in turn
    Then 0 of them are ejected

  Scenario Outline: Which results count as a fault of the target
    When a target returns <result>
    Then it <does> count as a fault of the target

    Examples:
      | result                       | does     |
      | status 400                   | does not |
      | status 404                   | does not |
      | status 500                   | does     |
      | QUEUE_FULL not run           | does not |
      | DEADLINE_UNREACHABLE         | does not |
      | TARGET_LOST unknown          | does     |
      | a failure retried downstream | does not |

  Scenario: A delayed load report does not replace a newer one
    # A peer is suspended with its answer in a buffer. When it resumes, the old report says that the
    # target is idle and would attract every call.
    When a report of 9 calls arrives and then one made 400 ms earlier of 0 calls
    Then the view still has 9 calls

  Scenario: The delay of a load report counts towards its age
    When a first report is delayed by 1 ms and a second one by 400 ms
    Then the age of the second one is about 399 ms

  Scenario: A changed weight takes effect gradually
    When the weight of a target goes from 1 to 0 in the configuration
    Then its weight is 0.5 after 2 seconds and 0 after 4 seconds

  Scenario: The connections to a target stay below the limit in a system of full size
    # If each of 2,100 entry nodes connected to all of 300 targets or to a random subset, a target
    # could get more than the 250 connections that its host allows.
    When 2100 entry nodes choose their subsets of 300 targets
    Then no target is chosen by more than 250 of them
    And every entry node has at least 3 targets
    And a target that leaves changes only the subsets that contained it

  Scenario: Load probes never exceed their budget
    # The worst case: no probe is answered, every call requests a probe, and peers send probes too.
    Then for any sequence of calls, probes and pauses the bytes and processor time stay in the budget
    But a budget that is not enforced is caught by the assertion in the code

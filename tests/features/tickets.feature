Feature: Work under a ticket runs at most once, without the platform's table

  @fixture.orders_deployment
  Scenario: A ticket runs once, through whichever node it is sent
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1
    And the ticket is used at node b1
    Then all answers are the same, with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: Two callers use one ticket at once, through different nodes
    When a ticket for orders is taken at node a1
    And the ticket is used at nodes a1 and b1 at once, working 300 ms
    Then all answers are the same, with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: A ticket works while the platform is out
    Given the table refuses everything
    When a ticket for orders is taken at node a1
    And the ticket is used at node b1
    Then it is answered with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The process that minted the ticket is gone
    # The ticket's one process is killed while its target works, and a new process takes its
    # place. The new one knows nothing of the ticket and must not run it.
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1, working 400 ms, and its node is killed meanwhile
    Then it is refused as OUTCOME_UNKNOWN
    When the ticket's node is started anew
    And the ticket is used at node b1 until refused with code 325
    Then it is refused as OUTCOME_UNKNOWN
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The ticket's node cannot be reached after the work ran
    # Saying NOT_RUN because this link cannot be opened would be false: the work ran through
    # another one.
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1
    And the ticket's node is killed
    And the ticket is used at node b1
    Then it is refused as OUTCOME_UNKNOWN
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node dies while the ticket's work runs
    When a ticket for orders is taken at node a1
    And the ticket is begun at node a1, working 500 ms
    And node-a1 is killed
    And the ticket is used at node b1, working 500 ms
    Then it is answered with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: A caller hangs up and sends its ticket again
    When a ticket for orders is taken at node a1
    And the ticket is begun at node a1, working 500 ms, and its caller hangs up
    And the ticket is used at node b1, working 500 ms
    Then it is answered with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: A ticket is used for another order, or forged
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1
    And the ticket is used at node a1 with another body
    Then it is refused with code 242 and NOT_RUN
    When a forged ticket is used at node a1
    Then it is refused with code 246 and NOT_RUN
    And the ticket has run 1 time

  Scenario: A full record mints nothing and forgets nothing that may run
    # Room is made only for what is finished or long unused. A forgotten ticket never runs: its
    # number was minted and is not remembered.
    Given a ticket book with room for 3 tickets
    When 3 tickets are minted and the first one runs
    Then a fourth ticket is refused with code 245
    When the tickets' age has passed
    Then 2 tickets can be minted, and the first one still runs
    And the second ticket is refused as OUTCOME_UNKNOWN

Feature: A request with a ticket runs at most once, without the platform's table

  @fixture.orders_deployment
  Scenario: A ticket runs once, whichever node it is sent to
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1
    And the ticket is used at node b1
    Then all answers are the same, with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: Two callers use one ticket at once, at different nodes
    When a ticket for orders is taken at node a1
    And the ticket is used at nodes a1 and b1 at once, working 300 ms
    Then all answers are the same, with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: A ticket works during an outage of the platform
    Given the table refuses everything
    When a ticket for orders is taken at node a1
    And the ticket is used at node b1
    Then it is answered with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The process that minted the ticket has ended
    # Guards against a ticket that runs twice. The only process that knows it is killed while its
    # target works, and a new process takes its place. That one knows nothing of the ticket and must
    # not run it.
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1, working 400 ms, and its node is killed meanwhile
    Then it is refused as OUTCOME_UNKNOWN
    When the ticket's node is started again
    And the ticket is used at node b1 until refused with code 325
    Then it is refused as OUTCOME_UNKNOWN
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The ticket's node is unreachable after the request ran
    # Guards against a false NOT_RUN. That the link to the node cannot be opened does not mean that
    # the request did not run: it ran through another link.
    When a ticket for orders is taken at node a1
    And the ticket is used at node a1
    And the ticket's node is killed
    And the ticket is used at node b1
    Then it is refused as OUTCOME_UNKNOWN
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: The entry node ends while the ticket's request runs
    When a ticket for orders is taken at node a1
    And the ticket is started at node a1, working 500 ms
    And node-a1 is killed
    And the ticket is used at node b1, working 500 ms
    Then it is answered with status 200
    And the ticket has run 1 time

  @fixture.orders_deployment
  Scenario: A caller disconnects and sends its ticket again
    When a ticket for orders is taken at node a1
    And the ticket is started at node a1, working 500 ms, and its caller disconnects
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

  Scenario: A full ticket store mints no tickets and forgets none that may run
    # Only tickets that are finished or long unused are removed to make room. A forgotten ticket
    # never runs, because its number was minted but is no longer recorded.
    Given a ticket store with room for 3 tickets
    When 3 tickets are minted and the first one runs
    Then a fourth ticket is refused with code 245
    When the tickets' age has passed
    Then 2 tickets can be minted, and the first one still runs
    And the second ticket is refused as OUTCOME_UNKNOWN

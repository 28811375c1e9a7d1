Feature: The causes of failed requests can be found from logs alone

  @fixture.fresh_relay_deployment
  Scenario: The steps of docs/OPERATIONS.md find the cause of each failed request
    # Among successful requests, the target of "c" aborts some orders (their callers get 502), a target
    # of lookups never answers some (504 at their deadline), and later the only target of orders leaves
    # (503 for every order). The diagnosis uses only request ids and logs.
    Given a load in which one order in four is aborted and one lookup in four is never answered
    And at the end the target of "c" leaves and 4 more orders are sent
    When each failed request is looked up by its id in the saved logs
    Then the aborted orders are found to be lost at the target of "c"
    And the lookups are found to have exceeded their deadline at the target that ran them
    And the last orders are found to be refused because the target of "c" leaves
    And no successful request is among them

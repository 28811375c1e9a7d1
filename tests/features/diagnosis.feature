Feature: A day with hidden faults, explained from logs alone

  @fixture.fresh_relay_deployment
  Scenario: Each failed request's cause is found by the steps of the operators' page
    # Among requests that go well, the target beside "c" breaks off some orders (their callers get 502),
    # a target of lookups never answers some (504 at their deadline), and later the only target of
    # orders leaves (503 to every order). The steps get request ids and logs and nothing else.
    Given a day on which one order in four is broken off and one lookup in four is never answered
    And at its end the target of "c" leaves and 4 more orders are sent
    When each failed request is looked up by its id in the saved logs
    Then the broken orders are found to be lost by the target of "c"
    And the lookups are found to have run out of time at the target that had them
    And the last orders are found to be refused because the target of "c" leaves
    And no request that went well is among them

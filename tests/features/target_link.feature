Feature: The connections to the target beside the node

  On streams and a clock of the test's own.

  Scenario: Kept connections that went silent are given up with the first silent question
    # All connections hang without a reset, new ones work. Each kept one would cost a request its
    # time, and a question each would take seconds to find them all.
    Given a target whose health is asked, with 3 kept connections
    When the kept connections fall silent for 0.3 s
    Then the kept connections are closed
    And the next question goes over a new connection and the target is not taken for dead

  Scenario: A target that answers no question over new connections either is dead
    Given a target whose health is asked, with 3 kept connections
    When the target says nothing for 0.8 s
    Then the target is taken for dead

Feature: The connections to the target beside the node

  Uses fake streams and a fake clock.

  Scenario: Kept connections that went silent are closed with the first unanswered probe
    # Guards against requests that time out on one kept connection after the other. All kept
    # connections hang without a reset, while new ones work. One probe for each of them would take
    # seconds to find them all.
    Given a target whose health is probed, with 3 kept connections
    When the kept connections fall silent for 0.3 s
    Then the kept connections are closed
    And the next probe uses a new connection and the target stays available

  Scenario: A target that answers no probe on new connections either is unavailable
    Given a target whose health is probed, with 3 kept connections
    When the target does not respond for 0.8 s
    Then the target is unavailable

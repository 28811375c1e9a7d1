Feature: What the log says of a target's limit

  Scenario: The log tells when a target's limit moves
    # Guards against a limit that moves without a line that tells when and from what.
    Given a node whose target of 8 slots slows down by 1.7 beyond 5
    When 90 requests a second come there for 30 s
    Then the log says that the limit moved from 6 to 5 of 8 slots

Feature: The log reports changes of a target's concurrency limit

  Scenario: The log reports when a target's limit changes
    # Guards against a change of the limit without a line that says when and from which value.
    Given a node whose target of 8 slots takes 1.7 times as long beyond 5 requests
    When 90 requests a second arrive there for 30 s
    Then the log says that the limit changed from 6 to 5 of 8 slots

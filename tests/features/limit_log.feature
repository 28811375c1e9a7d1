Feature: What the log says of a target's limit

  Scenario: The log tells when a target's limit moves
    # Callers of a service are refused more often than yesterday. The on-call engineer finds in the log
    # of the target's node that fewer requests are let in there, since when, and how many slots it has.
    Given a node whose target of 8 slots slows down by 1.7 beyond 5
    When 90 requests a second come there for 30 s
    Then the log says that the limit moved from 6 to 5 of 8 slots

@fixture.platform
Feature: The platform's client tells apart what happened to a write

  Scenario: A conditional write meets a row
    When row a is written if absent
    Then the write is APPLIED
    When row a is written if absent
    Then the write is LOST and tells the row of version 1
    When row a is written if it has version 1
    Then the write is APPLIED
    When row a is written if it has version 1
    Then the write is LOST and tells the row of version 2

  Scenario: A write that took effect and whose answer was lost
    # The caller of the client must not hear "not applied": the table has the row, only the
    # connection ended before the answer. A read tells.
    Given the platform loses the answer of 1 write
    When row a is written if absent
    Then the write is UNKNOWN
    And row a is read with version 1

  Scenario: A write that takes effect after the client gave up
    # The platform holds the write past the client's timeout and applies it later. A read in
    # between finds nothing, so "unknown" is all that can be said.
    Given the platform holds 1 write
    When row a is written if absent
    Then the write is UNKNOWN
    And row a is not there
    When the platform releases what it holds
    Then row a comes to have version 1

  Scenario: One losing write does not hide what became of the others
    When row a is written if absent
    And rows a and b are written together if absent
    Then the writes are LOST and NOT_APPLIED

  Scenario: A platform that is gone is not hammered
    # Each try costs a timeout and each node tries; after three failures in a row the client
    # answers at once that nothing was sent, and says when it will try again.
    Given the platform refuses everything
    When row a is written 3 times
    Then the circuit is open
    And the next write is NOT_APPLIED without reaching the platform

  Scenario: The budget of a node holds
    When 250 rows are written at once with a budget of 200
    Then the platform has seen at most 210 writes and the others are NOT_APPLIED

  Scenario: An abandoned request never goes out
    # Requests wait for a connection. One of them is abandoned and reported as not run; when the
    # connection ahead of it is lost, the next request must go out and not the abandoned one.
    When 2 requests wait for a connection, the first is abandoned and the connection is lost
    Then only the second of them reaches the server

  Scenario: An object is written and read
    When an object is written
    Then it is read back, and another one is absent

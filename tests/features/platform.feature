@fixture.platform
Feature: The platform's client reports the outcome of a write

  Scenario: A conditional write finds an existing row
    When row a is written if absent
    Then the write is APPLIED
    When row a is written if absent
    Then the write is LOST and returns the row of version 1
    When row a is written if it has version 1
    Then the write is APPLIED
    When row a is written if it has version 1
    Then the write is LOST and returns the row of version 2

  Scenario: A write takes effect and its answer is lost
    # The client must not report NOT_APPLIED: the table has the row, only the connection ended
    # before the answer. A read shows it.
    Given the platform loses the answer of 1 write
    When row a is written if absent
    Then the write is UNKNOWN
    And row a is read with version 1

  Scenario: A write takes effect after the client timed out
    # The platform delays the write beyond the client's timeout and applies it later. A read in
    # between finds nothing, so the only correct outcome is UNKNOWN.
    Given the platform holds 1 write
    When row a is written if absent
    Then the write is UNKNOWN
    And row a does not exist
    When the platform releases what it holds
    Then row a eventually has version 1

  Scenario: One lost write does not hide the outcome of the others
    When row a is written if absent
    And rows a and b are written together if absent
    Then the writes are LOST and NOT_APPLIED

  Scenario: An unavailable platform is not flooded with requests
    # Each attempt of each node costs a timeout. After three failures in a row the client answers at
    # once that nothing was sent, and reports when it will retry.
    Given the platform refuses everything
    When row a is written 3 times
    Then the circuit is open
    And the next write is NOT_APPLIED without reaching the platform

  Scenario: A node stays within its budget of requests
    When 250 rows are written at once with a budget of 200
    Then the platform has seen at most 210 writes and the others are NOT_APPLIED

  Scenario: A cancelled request is never sent
    # Requests wait for a connection. One of them is cancelled and reported as not run. When the
    # connection in use is lost, the next request must be sent and not the cancelled one.
    When 2 requests wait for a connection, the first is cancelled and the connection is lost
    Then only the second of them reaches the server

  Scenario: An object is written and read back
    When an object is written
    Then it is read back, and another one is absent

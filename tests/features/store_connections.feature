Feature: Connections to the store that fail together, and tables of several pages

  Scenario: After one lost connection no call uses another old one
    # Connections are reset or go silent together. The next call over a kept one would hang, and a
    # change of the configuration would be noticed only after its timeout.
    Given a client of the store with 2 kept connections
    When a call loses its connection twice
    Then the other kept connection is closed and the next call opens a new one

  Scenario: A table of several pages is read completely
    # There are 1,200 hosts and 500 rows in a response. If a node read only part of the table, it
    # would not find the other hosts, nor would they find it.
    Given a client of the store with 2 kept connections
    And a table of 1200 rows, of which the store returns 500 at once
    When the table is read
    Then all 1200 rows are returned in order, by 3 calls

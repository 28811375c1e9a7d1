Feature: Connections to the store that fail together

  Scenario: After one lost connection no call goes over another old one
    # Connections are reset or go silent together. The next call would hang on a kept one, and a
    # change of the configuration would be heard of only after its time-out.
    Given a client of the store with 2 kept connections
    When a call loses its connection twice
    Then the other kept connection is closed and the next call opens a new one

  Scenario: A table of more rows than the store gives at once is read whole
    # 1,200 hosts, 500 rows an answer. Read in part, a node would not find the others, nor they it.
    Given a client of the store with 2 kept connections
    And a table of 1200 rows, of which the store gives 500 at once
    When the table is read
    Then all 1200 rows come in order, by 3 calls

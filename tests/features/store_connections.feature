Feature: Connections to the store that fail together

  Scenario: After one lost connection no call goes over another old one
    # Connections are reset or go silent together. The next call would hang on a kept one, and a
    # change of the configuration would be heard of only after its time-out.
    Given a client of the store with 2 kept connections
    When a call loses its connection twice
    Then the other kept connection is closed and the next call opens a new one

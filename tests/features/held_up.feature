Feature: Requests that were delayed on a link are not run after their deadline

  After a network cut or the suspension of a host, messages are delivered seconds late and still
  carry the time at which they were sent. The clocks of two hosts differ by an unknown offset but
  run at the same rate.

  Scenario: A request that was delayed beyond its remaining time does not run
    Given a link whose sender's clock is 1234 s ahead
    When a request with 1.0 s left arrives with a delay of 0.0 s
    And a request with 1.0 s left arrives with a delay of 2.0 s
    Then the first runs with 1.0 s left
    And the second is declined as not run

  Scenario: The remaining time is counted from the time of sending
    Given a link whose sender's clock is 77 s behind
    When a request with 1.0 s left arrives with a delay of 0.0 s
    And a request with 1.0 s left arrives with a delay of 0.4 s
    Then the second runs with 0.6 s left

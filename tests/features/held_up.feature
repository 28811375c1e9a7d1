Feature: Requests that a link held up are not run for callers who have left

  A cut or a suspended host holds bytes back and delivers them seconds later, with the times of
  when they were sent. The clocks of two hosts have nothing in common but their pace.

  Scenario: A request that was held up longer than its time does not run
    Given a link whose sender's clock is 1234 s ahead
    When a request with 1.0 s left arrives after 0.0 s on the way
    And a request with 1.0 s left arrives after 2.0 s on the way
    Then the first runs with 1.0 s left
    And the second is declined as not run

  Scenario: What is left is counted from when it was sent
    Given a link whose sender's clock is 77 s behind
    When a request with 1.0 s left arrives after 0.0 s on the way
    And a request with 1.0 s left arrives after 0.4 s on the way
    Then the second runs with 0.6 s left

Feature: Load is asked for at the moment of choice in large systems

  In a system of 77 hosts each takes a few requests a second, and a quarter of the hosts work at a
  quarter of their speed for some 300 ms at a time. No network: hosts and clock are the test's own.

  Scenario: Seldom does a request go to a host that is slow when it arrives
    # Guards against choices by load reports that are out of date.
    Given 25 hosts of one service that slow down at random, heard once a second
    When 4000 requests are sent by what was heard last
    And 4000 requests are sent after asking
    Then more than 7 of 100 went to a slow host by what was heard
    And fewer than 3 of 100 went to a slow host after asking

  Scenario: A burst of choices in one moment is spread
    # Guards against entry nodes that all choose the same two targets.
    Given 25 hosts of one service, all idle and heard a second ago
    When 60 entry nodes each choose whom to ask
    Then more than 5 hosts are asked

  Scenario: Work that takes no time can be ranked
    # Guards against a fault for a route whose objective, and so the first guess at its work, is zero.
    Given 5 hosts of one service, all idle and heard a second ago
    When they are ranked for work that takes no time
    Then all 5 are candidates

  Scenario: What is known well enough is not asked for
    Given 5 hosts of one service, all idle and heard just now
    Then no host is asked

  Scenario: The choice goes on as soon as all have answered
    Given three hosts that are asked
    When all three answer after 2 ms
    Then the choice went on after 2 ms

  Scenario: The choice does not wait for the others when one answer is good
    # Guards against a choice that waits for answers which cannot be better.
    Given three hosts that are asked
    When one of them answers after 2 ms that it is fast and has room
    Then the choice went on after 2 ms

  Scenario: A host without a free slot is not good enough
    Given three hosts that are asked
    When one of them answers after 2 ms that it is fast and full
    Then the choice went on after 10 ms

  Scenario: A host that does not answer holds up nothing, and comes last
    # Guards against requests that wait for a host that is frozen or cut off.
    Given three hosts that are asked
    When all but one answer after 2 ms
    Then the choice went on after 10 ms
    And 0.2 s later the silent host is ranked last
    And once it is heard it is not

  Scenario: Requests that ask the same host share one question
    Given three hosts that are asked
    When they are asked again within 1 ms
    Then 3 questions were sent
    And both choices go on when all three answer

  Scenario: Questions are kept within their budget
    Given three hosts that are asked
    When 500 further choices ask three hosts within a second, each answered at once
    Then at most 400 questions were sent
    And every choice went on

@fixture.owned_deployment
Feature: Operators submit intents through any node, each team for its own services

  Scenario: Requests without a valid token are refused and disclose nothing
    When a client without a token requests each resource
    Then each is answered with 401 and discloses nothing else
    When a client with a wrong token requests each resource
    Then each is answered with 401 and discloses nothing else

  Scenario: A plan changes nothing until it is confirmed
    When flock plans at a1 that counter/b1 leaves
    Then the plan has base version 1, one change and "the targets that stay carry 100% more each"
    And version 1 is still in force and counter/b1 accepts calls
    When flock confirms the plan at b1
    Then the confirmation reports version 2
    And version 2 comes into force everywhere and counter/b1 gets no calls

  Scenario: A confirmation is idempotent, also through another node and after newer versions
    Given flock has planned at a1 that counter/b1 has weight 50
    When flock confirms the plan at a1
    And flock has had 3 more versions confirmed
    And flock confirms the plan at c1
    Then the confirmation reports version 2
    And version 5 is the newest

  Scenario: Teams cannot see or change each other's services
    When paper plans at a1 that counter/b1 leaves
    Then it is refused with 403 and code 402
    When paper plans at a1 that orders belongs to paper
    Then it is refused with 403 and code 402
    And paper's status at a1 shows no service of flock
    Given flock has planned at a1 that counter/b1 leaves
    When paper confirms the plan at a1
    Then it is refused with 403 and code 402
    And paper cannot read the plan
    And paper's history hides what flock changed

  Scenario: A service changes its owner by a plan that both owners confirm
    # Guards against a change of owner that one team decides alone: the new owner could take a
    # service over, or the old owner could assign one to a team that does not want its traffic.
    Given flock has planned at a1 that counter belongs to paper
    When flock confirms the plan at a1
    Then it is refused with 202 and code 407
    And version 1 is the newest
    When paper confirms the plan at b1
    Then the confirmation reports version 2
    When flock plans at a1 that counter/b1 leaves
    Then it is refused with 403 and code 402
    When paper plans at a1 that counter/b1 leaves
    Then the plan has base version 2, one change and "the targets that stay carry 100% more each"

  Scenario: An invalid intent is refused with the field, its value and the allowed values
    When flock plans at a1 each of the invalid intents
    Then each is refused with 400 and code 403 and names its field

  Scenario: Malformed or oversized requests are refused before the library parses them
    # The library parses Content-Length with a bare int(), has no size limits and answers pipelined
    # requests out of order. A client could exhaust the node's memory or read the answer to another.
    When each malformed request is sent to the administration listener of a1
    Then each is refused with its expected code
    And a1 still answers operators

  Scenario: The administration API explains why a call went to its target, to its owner only
    When a caller sends GET /why for counter to node a1
    Then flock is told by a1 why the call went to its target
    And paper is not told by a1 why the call went to its target

  Scenario: The command-line client plans, confirms and shows status and history
    When flock runs camphorshelf plan "counter/b1 leave" at a1
    Then it exits 0 and prints "nothing has changed yet"
    When flock runs camphorshelf confirm with the plan at a1
    Then it exits 0 and prints "version 2 is in force"
    When flock runs camphorshelf status at b1
    Then it exits 0 and prints "leave"
    When flock runs camphorshelf history at b1
    Then it exits 0 and prints "state b1"
    When flock runs camphorshelf plan "counter domain:fd-a leave" at b1
    Then it exits 0 and prints "in failure domain fd-a will leave"
    When flock runs camphorshelf plan "counter/b1 leave" at b1
    Then it exits 14 and prints "404 NO_CHANGE"
    When paper runs camphorshelf plan "counter/b1 take" at b1
    Then it exits 12 and prints "402 NOT_THE_OWNER"
    When flock runs camphorshelf explain nothing at b1
    Then it exits 25 and prints "415 UNKNOWN_CALL"
    When flock runs camphorshelf status at a port where nothing listens
    Then it exits 3 and prints "no node listens for operators at"
    When flock runs camphorshelf status as JSON at b1
    Then it exits 0 and its output is JSON with version 2

@fixture.owned_deployment
Feature: Operators state intents through any node, each team for its own services

  Scenario: Without a valid token nothing is told
    When somebody without a token asks for each resource
    Then each is answered 401 and tells nothing else
    When somebody with a wrong token asks for each resource
    Then each is answered 401 and tells nothing else

  Scenario: A plan changes nothing until it is confirmed
    When flock plans at a1 that counter/b1 leaves
    Then the plan tells base 1, one change and "the targets that stay carry 100% more each"
    And version 1 is still in force and counter/b1 takes work
    When flock confirms the plan at b1
    Then the confirm says version 2
    And version 2 comes into force everywhere and counter/b1 takes no work

  Scenario: A confirm may be repeated, also through another node and much later
    Given flock has planned at a1 that counter/b1 has weight 50
    When flock confirms the plan at a1
    And flock has had 3 more versions confirmed
    And flock confirms the plan at c1
    Then the confirm says version 2
    And version 5 is the newest

  Scenario: Teams cannot see or change each other's services
    When paper plans at a1 that counter/b1 leaves
    Then it is refused with 403 and code 402
    When paper plans at a1 that orders belongs to paper
    Then it is refused with 403 and code 402
    And paper's status at a1 tells no service of flock
    Given flock has planned at a1 that counter/b1 leaves
    When paper confirms the plan at a1
    Then it is refused with 403 and code 402
    And paper cannot read the plan
    And paper's history hides what flock changed

  Scenario: A service is handed over by a plan that both owners confirm
    # One confirm alone must not move a service: the taker could seize it, or the giver could
    # push a service on a team that does not want its traffic.
    Given flock has planned at a1 that counter belongs to paper
    When flock confirms the plan at a1
    Then it is refused with 202 and code 407
    And version 1 is the newest
    When paper confirms the plan at b1
    Then the confirm says version 2
    When flock plans at a1 that counter/b1 leaves
    Then it is refused with 403 and code 402
    When paper plans at a1 that counter/b1 leaves
    Then the plan tells base 2, one change and "the targets that stay carry 100% more each"

  Scenario: Bad intents are refused with the field, what was seen and what is allowed
    When flock plans at a1 each of the bad intents
    Then each is refused with 400 and code 403 and names its field

  Scenario: What is not sane HTTP is refused before the library reads it
    # The library reads Content-Length with a bare int(), bounds nothing, and answers pipelined
    # requests out of order. A stranger could fill the node's memory or read another's answer.
    When each odd request is sent to the administration listener of a1
    Then each is refused as the table of odd requests says
    And a1 still answers operators

  Scenario: The same plan answers why a call went where it did
    When a caller sends GET /why for counter to node a1
    Then flock is told by a1 why the call went to its target
    And paper is not told by a1 why the call went to its target

  Scenario: The operators' program plans, confirms and shows
    When flock runs camphorshelf plan "counter/b1 leave" at a1
    Then it exits 0 and says "nothing has changed yet"
    When flock runs camphorshelf confirm with the plan at a1
    Then it exits 0 and says "version 2 is in force"
    When flock runs camphorshelf status at b1
    Then it exits 0 and says "leave"
    When flock runs camphorshelf history at b1
    Then it exits 0 and says "state b1"
    When flock runs camphorshelf plan "counter domain:fd-a leave" at b1
    Then it exits 0 and says "in failure domain fd-a will leave"
    When flock runs camphorshelf plan "counter/b1 leave" at b1
    Then it exits 14 and says "404 NO_CHANGE"
    When paper runs camphorshelf plan "counter/b1 take" at b1
    Then it exits 12 and says "402 NOT_THE_OWNER"
    When flock runs camphorshelf explain nothing at b1
    Then it exits 25 and says "415 UNKNOWN_CALL"
    When flock runs camphorshelf status at a port where nothing listens
    Then it exits 3 and says "no node listens for operators at"
    When flock runs camphorshelf status as JSON at b1
    Then it exits 0 and its output is JSON with version 2

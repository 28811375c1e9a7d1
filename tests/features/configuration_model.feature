Feature: Confirm and spread of the configuration, checked exhaustively and at random

  Scenario: The model of confirming holds and each mutant is caught
    When the confirm model and its mutants are explored
    Then only the mutants violate an invariant

  Scenario: The model of spreading holds and each mutant is caught
    When the spread model and its mutants are explored
    Then only the mutants violate an invariant

  Scenario: Random runs of the code keep the promises
    Then 200 random runs of 80 steps keep every invariant

  Scenario: All nodes together poll the table within one budget
    # A read a second by each node would be all that the table gives at 2,100 nodes.
    Then a system of 3, 200 and 2100 nodes polls at most 4 times a second

  Scenario: Partners join all nodes and leave every failure domain
    # A set of nodes whose partners are all inside it would never hear of a new version but by
    # the table; each domain needs ways out, and news has to arrive within a few steps.
    Then news from any node of 200 in 5 domains reaches all within 8 steps
    And news from any node of 2100 in 12 domains reaches all within 10 steps
    And half of the partners are in other domains

Feature: The protocols that confirm and distribute a configuration, checked exhaustively and at random

  Scenario: The confirm protocol's model keeps its invariants and each mutant breaks one
    When the confirm model and its mutants are explored
    Then only the mutants violate an invariant

  Scenario: The distribution protocol's model keeps its invariants and each mutant breaks one
    When the spread model and its mutants are explored
    Then only the mutants violate an invariant

  Scenario: Random runs of the code keep every invariant
    Then 200 random runs of 80 steps keep every invariant

  Scenario: All nodes together poll the table within one budget
    # At 2,100 nodes, one poll per node and second would use up the table's whole read capacity.
    Then a system of 3, 200 and 2100 nodes polls at most 4 times a second

  Scenario: Partners connect all nodes, also across failure domains
    # Nodes whose partners are all among themselves would learn of a new version only from the table.
    # Each failure domain needs partners in others, and a version must reach all in a few steps.
    Then a version from any node of 200 in 5 domains reaches all within 8 steps
    And a version from any node of 2100 in 12 domains reaches all within 10 steps
    And half of the partners are in other domains

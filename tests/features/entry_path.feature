@fixture.entry_deployment
Feature: The entry node's decisions through separate processes

  Scenario: The loser of a hedged lookup gives its slot back
    # Lookups at a target that hangs are asked of the other one as well. If the losers kept their
    # slots the target would be full for good and its calls would end at their deadlines.
    Given node e1 has learned the usual time of lookups
    When target t1 hangs and 30 lookups are sent to node e1
    Then all of them are answered with 200
    And node e1 has hedged a lookup
    And no slot of node t1 is taken

  Scenario: A lookup whose target fails at once is answered by another
    # Target t1 answers 503 to everything. The caller would see a sixth to all of its lookups
    # fail, as a failing target always looks idle; instead each is tried again at t2.
    Given target t1 fails every call
    When 30 lookups are sent to node t3
    Then all of them are answered with 200
    And node t3 has tried 1 to 9 of them again

  Scenario: Peers' links stay below the limit and no call is lost by it
    # Node t3 takes two links at most, and three other nodes call it. Beyond the limit the longest
    # idle link is asked to close; closing it at once would lose calls on their way.
    When nodes e1, t1 and t2 each send 20 lookups for single by turns
    Then all of them are answered with 200
    And node t3 comes to have at most 2 links

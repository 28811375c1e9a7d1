Feature: A node that watches the store reads it often enough by itself

  Scenario: No two reads are further apart than a change may take
    # All watchers were started in the same moment and hear nothing. A change that comes just after a
    # read must be read by each alone in time to be in force everywhere 2 s after it.
    Given watches that report nothing, on 100 seeds
    When each node watches for 20 s
    Then no two reads of a node are more than 1.6 s apart

  Scenario: A node that the store turns away says so at once
    # All three watchers are turned away at the same moment. The others take their places when they
    # hear of it; until then nobody reads a change.
    Given watches that report nothing, on 1 seeds
    When each node watches for 5 s
    And the store breaks off the next call
    Then the node tells the others that the store does not answer it

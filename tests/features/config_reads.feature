Feature: A node that watches the store reads it often enough by itself

  Scenario: No two reads are further apart than a change may take
    # All watchers were started in the same moment and hear nothing. A change that comes just after a
    # read must be read by each alone in time to be in force everywhere 2 s after it.
    Given watches that report nothing, on 100 seeds
    When each node watches for 20 s
    Then no two reads of a node are more than 1.6 s apart

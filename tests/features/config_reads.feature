Feature: A node that reads the store for changes does so often enough by itself

  Scenario: No two reads are further apart than a change may take
    # All readers were started in the same moment. A change that comes just after a read must be read
    # by each alone in time to be in force everywhere 2 s after it.
    Given a store without rows, on 100 seeds
    When each node reads for 20 s
    Then no two reads of a node are more than 1.1 s apart
    And no node reads more than 28 times

  Scenario: A node that the store turns away says so at once
    # All three readers are turned away at the same moment. The others take their places when they
    # hear of it; until then nobody reads a change.
    Given a store without rows, on 1 seeds
    When each node reads for 5 s
    And the store turns the node away at its next read
    Then the node tells the others that the store does not answer it

  Scenario: A node that the store leaves without an answer says so before its call times out
    # The store drops the calls of some hosts without a word. A change must not wait for the time-out
    # of a second: others take the place of a reader whose call hangs.
    Given a store without rows, on 1 seeds
    When each node reads for 5 s
    And the store says nothing to its next read for 0.41 s
    Then the node tells the others that the store does not answer it

  Scenario: In an outage for all, most nodes ask seldom
    # Every node asking every second would be 77 calls a second for nothing, all of them paid for. A
    # few go on, and the others hear from them that the store is back.
    Given 76 other hosts that the store turns away, and a configuration in force
    When the store refuses every read for 20 s
    Then the node has read at most 14 times, and at least 4 times

  Scenario: A large document is handed on in a fraction of its size
    # 25 hosts fetch 1,560 routes from the same node over 10 Mbit/s. As they are it takes 6 s, and the
    # hosts serve by the version before for so long.
    Given a node that has a document of 1560 routes
    When another node asks it for its configuration
    Then the answer has less than a fifth of the document's bytes
    And the other node has the same version with all routes

  Scenario: A document that is cut short is refused and logged
    Given a node that has a document of 20 routes
    When another node is sent all but the last 10 bytes of its answer
    Then the other node has no configuration and has logged why

  Scenario: A node that has not asked the store is not taken for one that it turns away
    # Guards against every node reading the store when a reader dies.
    Given a node that has a document of 20 routes
    Then it does not say that the store turns it away

  Scenario Outline: A version that is told from afar is fetched near
    # Guards against all hosts of a large fleet fetching a large document from the one that read it.
    Given a node that has a document of 20 routes
    When it hears of a newer version at a host of <domain> that <forwarding>
    Then it has fetched <at once> times at once and <later> times after 0.4 s

    Examples:
      | domain         | forwarding                    | at once | later |
      | another domain | others hand on                | 0       | 1     |
      | another domain | it hands on itself            | 1       | 1     |
      | its own domain | others hand on                | 1       | 1     |

  Scenario: In an outage for all, the nodes of a large fleet stop trying in turn
    # Guards against an outage that costs one paid call of each node, whatever the fleet's size.
    Given 100 nodes of a fleet of 195 in which the store has turned away 12
    When the store refuses every read of theirs for 5 s
    Then they have read at most 25 times and at least once

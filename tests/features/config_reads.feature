Feature: A node that reads the store for changes does so often enough by itself

  Scenario: No two polls are further apart than a change may take
    # Guards against a change that is in force too late when a single poller is left.
    Given a store without rows, on 100 seeds
    When each node reads for 20 s
    Then no two polls of a node are more than 1.1 s apart
    And no node reads more than 28 times

  Scenario: A node that loses its store access says so at once
    # Guards against a change that no node reads after all pollers have lost their store access.
    Given a store without rows, on 1 seeds
    When each node reads for 5 s
    And the store refuses the node's next poll
    Then the node tells the others that the store does not answer it

  Scenario: A node that the store leaves without an answer says so before its call times out
    # Guards against a change that waits for the time-out of a poller whose call hangs.
    Given a store without rows, on 1 seeds
    When each node reads for 5 s
    And the store says nothing to its next read for 0.41 s
    Then the node tells the others that the store does not answer it

  Scenario: In an outage for all, most nodes poll seldom
    # Guards against an outage in which every node polls every second.
    Given 76 other hosts without store access, and a configuration in force
    When the store refuses every read for 20 s
    Then the node has read at most 14 times, and at least 4 times

  Scenario: A large document is handed on in a fraction of its size
    # Guards against a slow change of a large configuration that many hosts fetch from one node.
    Given a node that has a document of 1560 routes
    When another node asks it for its configuration
    Then the answer has less than a fifth of the document's bytes
    And the other node has the same version with all routes

  Scenario: A document that is cut short is refused and logged
    Given a node that has a document of 20 routes
    When another node is sent all but the last 10 bytes of its answer
    Then the other node has no configuration and has logged why

  Scenario: A node that has not polled the store is not taken for one without store access
    # Guards against every node polling the store when a poller dies.
    Given a node that has a document of 20 routes
    Then it does not say that it lacks store access

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
    Given 100 nodes of a fleet of 195 in which 12 have lost their store access
    When the store refuses every read of theirs for 5 s
    Then they have read at most 25 times and at least once

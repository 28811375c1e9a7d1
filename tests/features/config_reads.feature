Feature: Nodes poll the store for a new configuration often enough and fetch it from each other

  Scenario: The interval between polls has an upper bound
    # Guards against a change that comes into force too late when only one poller is left.
    Given a store without rows, on 100 seeds
    When each node polls for 20 s
    Then no two polls of a node are more than 1.1 s apart
    And no node polls more than 28 times

  Scenario: A node that loses its store access announces it at once
    # Guards against a change that no node reads because all pollers have lost their store access.
    Given a store without rows, on 1 seeds
    When each node polls for 5 s
    And the store refuses the node's next poll
    Then the node announces that it lacks store access

  Scenario: A node whose poll gets no answer announces it before the call times out
    # Guards against a change that waits for the time-out of a poller whose call hangs.
    Given a store without rows, on 1 seeds
    When each node polls for 5 s
    And the store does not answer its next poll for 0.41 s
    Then the node announces that it lacks store access

  Scenario: In an outage of the store most nodes poll rarely
    # Guards against an outage in which every node polls every second.
    Given 76 other hosts without store access, and a configuration in force
    When the store refuses every poll for 20 s
    Then the node has polled at most 14 times, and at least 4 times

  Scenario: A large document is sent to another node compressed
    # Guards against a slow change of a large configuration that many hosts fetch from one node.
    Given a node that has a document of 1560 routes
    When another node requests its configuration
    Then the answer has less than a fifth of the document's bytes
    And the other node has the same version with all routes

  Scenario: A truncated document is refused and logged
    Given a node that has a document of 20 routes
    When another node is sent all but the last 10 bytes of its answer
    Then the other node has no configuration and has logged why

  Scenario: A node that has not polled the store does not announce that it lacks store access
    # Guards against every node polling the store when a poller crashes.
    Given a node that has a document of 20 routes
    Then it does not announce that it lacks store access

  Scenario Outline: A version announced from another failure domain is fetched within the own one
    # Guards against all hosts of a large fleet fetching a large document from the one that polled it.
    Given a node that has a document of 20 routes
    When it learns of a newer version at a host of <domain> whose status <forwarding>
    Then it has fetched <at once> times at once and <later> times after 0.4 s

    Examples:
      | domain         | forwarding        | at once | later |
      | another domain | others forward    | 0       | 1     |
      | another domain | the node forwards | 1       | 1     |
      | its own domain | others forward    | 1       | 1     |

  Scenario: In an outage of the store the nodes of a large fleet poll it at a bounded total rate
    # Guards against an outage that costs one paid call by each node, so that the cost grows with the
    # fleet.
    Given 100 nodes of a fleet of 195 in which 12 have lost store access
    When the store refuses every poll of these nodes for 5 s
    Then they have polled at most 25 times and at least once

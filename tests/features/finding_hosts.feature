Feature: Hosts discover each other through rows in the store, with few calls

  The store, the nodes and the clock are simulated; the store answers a call after 4 ms.

  Scenario: All hosts start for the first time
    # Each host writes its row before it reads, so of any two hosts at least one finds the other.
    Given 12 hosts that start together for the first time
    When 1 s passes
    Then of any two hosts at least one has found the other
    And the store took 24 calls for the hosts' rows

  Scenario: Two new hosts join a running system at the same time
    # Neither has a row when the other one first reads. Each host reads again after its own write;
    # otherwise the two would never learn of each other, as hosts do not forward addresses.
    Given a running system of 12 hosts
    When 2 new hosts start together and 1 s passes
    Then of any two hosts at least one has found the other

  Scenario: A restart costs one call to the store
    Given a running system of 12 hosts
    When 5 of its hosts restart and 1 s passes
    Then the store took 5 calls for the hosts' rows

  Scenario: A host that restarts at another address rewrites its row
    Given a running system of 12 hosts
    When a host restarts at another address and 1 s passes
    Then its row holds the new address

  Scenario: After a power loss a few hosts read the configuration for all
    # Guards against 12 reads at once where three suffice: the other hosts get the configuration
    # from these three.
    Given 12 hosts of a system that lost power, with a configuration in the store
    When 0.25 s pass
    Then 3 of them have read the configuration
    When the others receive nothing, and 0.2 s pass
    Then 12 of them have read the configuration

  Scenario: In a large fleet that starts for the first time, few nodes read the rows
    # Guards against calls to the store, which are billed, that grow with the number of nodes
    # because each of them reads.
    Given 120 hosts whose nodes start together for the first time and lose 3 of 100 datagrams
    When their nodes run for 4 s
    Then every node has found every other
    And the store took at most 160 calls for the hosts' rows

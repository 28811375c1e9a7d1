Feature: Hosts find each other by rows of the store, with few calls

  A store, nodes and a clock of the test's own; a call is answered after 4 ms.

  Scenario: A whole system that starts for the first time
    # All write before they read, so of any two at least one finds the other.
    Given 12 hosts that start together for the first time
    When 1 s passes
    Then of any two hosts at least one has found the other
    And the store took 24 calls for the hosts' rows

  Scenario: Two new hosts beside a running system, in the same moment
    # Neither has a row when the other first reads. Each reads again behind its own write, or they
    # would never hear of each other: nobody passes on addresses.
    Given a running system of 12 hosts
    When 2 new hosts start together and 1 s passes
    Then of any two hosts at least one has found the other

  Scenario: A restart is one call
    Given a running system of 12 hosts
    When 5 of its hosts start again and 1 s passes
    Then the store took 5 calls for the hosts' rows

  Scenario: A host that comes back at another address writes its row anew
    Given a running system of 12 hosts
    When a host starts again at another address and 1 s passes
    Then its row holds the new address

  Scenario: All start again after a loss of power, and a few read the configuration for all
    # 12 calls in one moment where three do; the others have it from them.
    Given 12 hosts of a system that lost power, with a configuration in the store
    When 0.25 s pass
    Then 3 of them have read the configuration
    When nobody tells the others, and 0.2 s pass
    Then 12 of them have read the configuration

  Scenario: A large fleet starts for the first time, and few of its nodes read the rows
    # Guards against calls to the store, which are paid for, that grow with each node's own read.
    Given 120 hosts whose nodes start together for the first time and lose 3 of 100 datagrams
    When their nodes run for 4 s
    Then every node has found every other
    And the store took at most 160 calls for the hosts' rows

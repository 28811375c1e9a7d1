Feature: Hosts of a large fleet know who is alive, at a cost that does not grow with the fleet

  Nodes' peers on a clock and a network of the test's own; a datagram takes 1.4 ms.

  Scenario Outline: The calm traffic of a node does not grow with the fleet
    # Load pattern: all-to-all statuses, whose datagrams grow with the square of the hosts.
    Given a fleet of <hosts> hosts that all know each other
    When 5 calm seconds pass
    Then each node has sent at most 15 datagrams and 1000 bytes a second
    And no host was suspected

    Examples:
      | hosts |
      | 40    |
      | 120   |

  Scenario Outline: A node with nothing due is not woken
    # Load pattern: most of a calm node's processor time is being woken; a tick that only looks
    # whether an answer is late is one more for each that probes.
    Given a fleet of <hosts> hosts that all know each other
    When 10 calm seconds pass for one host
    Then it has ticked at most 51 times

    Examples:
      | hosts |
      | 12    |
      | 60    |

  Scenario: An answer that is late is noticed at the usual moment
    # Guards against a probe between two ticks that waits for the next one but one.
    Given a fleet of 60 hosts that all know each other
    When a host that does not answer is probed for a choice at each hundredth of a second in turn
    Then it was probed again within 0.23 s each time

  Scenario: A killed host gets no new request anywhere after two seconds
    # Guards against a dead host staying a candidate until each entry node has lost a request there.
    Given a fleet of 195 hosts that all know each other, where 3 of 100 datagrams are lost
    When one host is killed and 2 s pass
    Then no host takes a dead one for sound

  Scenario: Half of the fleet is killed in one moment
    # Guards against news that is lost because the members that forward it are dead too.
    Given a fleet of 100 hosts that all know each other, where 3 of 100 datagrams are lost
    When half of the hosts are killed and 4 s pass
    Then at most 1 in 1000 views of a dead host is still sound

  Scenario: Half of the fleet restarts in one moment
    # Guards against a restart that floods the others, and against one that stays unknown to some.
    Given a fleet of 100 hosts that all know each other, where 3 of 100 datagrams are lost
    When half of the hosts are killed and 4 s pass
    And these are started again and 2 s pass
    Then every host takes every other for sound, but for 1 in 1000
    And no node has sent more than 400 datagrams in a second

  Scenario: A host that is cut off and comes back is used again
    # Guards against a host that stays suspected for good after a partition, by itself or by others.
    Given a fleet of 100 hosts that all know each other
    When 30 hosts are cut off from all others for 6 s
    Then no host that is connected takes one that is cut off for sound
    When the cut ends and 4 s pass
    Then every host takes every other for sound, but for 1 in 1000

  Scenario: Hosts that were cut off for longer than they are remembered are used again
    # Guards against a partition that outlasts the memory of both sides and so never heals.
    Given a fleet of 40 hosts that all know each other
    When 10 hosts are cut off from all others for 70 s
    Then no host that is connected takes one that is cut off for sound
    When the cut ends and 6 s pass
    Then every host takes every other for sound, but for 1 in 1000
    And no node has sent more than 400 datagrams in a second

  Scenario: Late news of a process that was never heard does not displace its successor
    # Guards against a restarted host getting no requests from nodes that took its old word for new.
    Given a fleet of 40 hosts that all know each other
    When two hosts restart, and news of the first one's old process reaches the second one late
    Then the second one never loses sight of the first one's new process for 4 s

  Scenario Outline: A host whose clock is behind that of its predecessor is believed
    # Guards against a host that replaces another one at its address being taken for the older.
    Given a fleet of <hosts> hosts that all know each other
    When a host is replaced by one whose clock is behind by an hour, and 4 s pass
    Then every host takes every other for sound, but for 1 in 1000
    And every host holds its new process

    Examples:
      | hosts |
      | 12    |
      | 40    |

  Scenario: A failure domain that is cut off from another one is not taken for dead
    # Guards against a partition between two failure domains taking hosts out for all of them.
    Given a fleet of 100 hosts that all know each other
    When failure domains d0 and d1 do not reach each other for 4 s
    Then every host takes every other that it reaches for sound, but for 1 in 1000

  Scenario: A lossy network makes nobody suspected
    # Guards against false suspicion: fewer than one an hour and node at 3 lost datagrams in 100.
    Given a fleet of 60 hosts that all know each other, where 3 of 100 datagrams are lost
    When 60 calm seconds pass
    Then no host was suspected

  Scenario: A change at one host is known to all within a second
    # Guards against requests for a target that has left, and against a new one that gets none.
    Given a fleet of 120 hosts that all know each other, where 3 of 100 datagrams are lost
    When a target stops taking work and 1.2 s pass
    Then every host knows that it takes none
    And no node has sent more than 100 datagrams in a second

  Scenario: A node that restarts while the store is away learns the others from one of them
    # Guards against a node without the store's rows that knows only the few hosts that probe it.
    Given a fleet of 60 hosts that all know each other
    When one host restarts without the store's rows and 4 s pass
    Then it takes every other host for sound

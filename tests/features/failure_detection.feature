Feature: The failure detectors of a large fleet agree, at a cost per host independent of its size

  The nodes' failure detectors run on a simulated clock and network; a datagram takes 1.4 ms.

  Scenario Outline: The steady-state traffic of a node does not grow with the fleet
    # Guards against all-to-all statuses, whose datagrams grow with the square of the number of hosts.
    Given a fleet of <hosts> hosts that all know each other
    When 5 seconds without failures pass
    Then each node has sent at most 15 datagrams and 1000 bytes a second
    And no host was suspected

    Examples:
      | hosts |
      | 40    |
      | 120   |

  Scenario Outline: A node without due work is not woken up
    # Wake-ups take most of an idle node's processor time. Guards against an extra tick after each
    # probe that only checks whether its answer is late.
    Given a fleet of <hosts> hosts that all know each other
    When 10 seconds without failures pass for one host
    Then it has ticked at most 51 times

    Examples:
      | hosts |
      | 12    |
      | 60    |

  Scenario: A missing answer is detected in time, whenever the probe was sent
    # Guards against a probe sent between two ticks whose time-out is detected one tick too late.
    Given a fleet of 60 hosts that all know each other
    When a silent host is probed out of turn, each time a hundredth of a second later in the period
    Then it was probed again within 0.23 s each time

  Scenario: A killed host gets no new request anywhere after two seconds
    # Guards against a dead host that stays a candidate until each entry node has lost a request there.
    Given a fleet of 195 hosts that all know each other, where 3 of 100 datagrams are lost
    When one host is killed and 2 s pass
    Then no host considers a dead one alive

  Scenario: Half of the fleet is killed at the same time
    # Guards against updates that are lost because the members that forward them are dead too.
    Given a fleet of 100 hosts that all know each other, where 3 of 100 datagrams are lost
    When half of the hosts are killed and 4 s pass
    Then at most 1 in 1000 views of a dead host still shows it as alive

  Scenario: Half of the fleet restarts at the same time
    # Guards against restarts that flood the other hosts, or that remain unknown to some of them.
    Given a fleet of 100 hosts that all know each other, where 3 of 100 datagrams are lost
    When half of the hosts are killed and 4 s pass
    And these are started again and 2 s pass
    Then every host considers every other alive, except for 1 in 1000
    And no node has sent more than 400 datagrams in a second

  Scenario: Hosts that were partitioned are used again after the partition
    # Guards against a host that stays suspected for good after a partition, by itself or by others.
    Given a fleet of 100 hosts that all know each other
    When 30 hosts are cut off from all others for 6 s
    Then no connected host considers a partitioned one alive
    When the partition ends and 4 s pass
    Then every host considers every other alive, except for 1 in 1000

  Scenario: Hosts that were partitioned for longer than others remember them are used again
    # Guards against a partition that never heals because both sides have removed each other's hosts.
    Given a fleet of 40 hosts that all know each other
    When 10 hosts are cut off from all others for 70 s
    Then no connected host considers a partitioned one alive
    When the partition ends and 6 s pass
    Then every host considers every other alive, except for 1 in 1000
    And no node has sent more than 400 datagrams in a second

  Scenario: A delayed update about an unknown old process does not replace its successor
    # Guards against a restarted host that gets no requests from nodes that took an old status of it
    # for a new one.
    Given a fleet of 40 hosts that all know each other
    When two hosts restart, and an update about the first one's old process reaches the second one late
    Then the second one considers the first one's new process alive all the time for 4 s

  Scenario Outline: A replacement host whose clock is behind its predecessor's is accepted
    # Guards against a host that replaces another one at its address and is taken for the older one.
    Given a fleet of <hosts> hosts that all know each other
    When a host is replaced by one whose clock is behind by an hour, and 4 s pass
    Then every host considers every other alive, except for 1 in 1000
    And every host knows its new process

    Examples:
      | hosts |
      | 12    |
      | 40    |

  Scenario: A partition between two failure domains does not mark their hosts as dead
    # Guards against a partition between two failure domains that removes their hosts for all others.
    Given a fleet of 100 hosts that all know each other
    When failure domains d0 and d1 do not reach each other for 4 s
    Then every host considers every other reachable host alive, except for 1 in 1000

  Scenario: Lost datagrams make no host suspected
    # Guards against false suspicions: fewer than one per hour and node with 3 % datagram loss.
    Given a fleet of 60 hosts that all know each other, where 3 of 100 datagrams are lost
    When 60 seconds without failures pass
    Then no host was suspected

  Scenario: A change at one host is known to all within a second
    # Guards against requests to a target that has left, and against a new target that gets none.
    Given a fleet of 120 hosts that all know each other, where 3 of 100 datagrams are lost
    When a target stops accepting requests and 1.2 s pass
    Then every host knows that it accepts none
    And no node has sent more than 100 datagrams in a second

  Scenario: A node that restarts without the store learns of the other hosts from one of them
    # Guards against a node without the store's rows that knows only the few hosts that probe it.
    Given a fleet of 60 hosts that all know each other
    When one host restarts without the store's rows and 4 s pass
    Then it considers every other host alive

Feature: Quarantine of requests that crash the targets that run them

  Scenario: Two crashes identify the request that causes them
    # Guards against innocent requests that are refused because they ran beside the one that crashed
    # the target. All ten requests in flight at the crash become suspects. Each one that completes
    # at another target is cleared; the one under which a second target crashes is refused.
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    When the target of n1 crashes under poison and 9 innocent requests
    Then poison and the 9 innocent requests are suspects at all nodes
    When the 9 innocent requests complete at n2
    Then no innocent request is a suspect at any node
    When the target of n3 crashes under poison and 9 innocent requests
    Then poison is refused at all nodes and no innocent request is a suspect

  Scenario: Only the suspect is blamed for a crash among innocent requests
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    When the target of n1 crashes under poison and 0 innocent requests
    And the target of n2 crashes under poison and 9 innocent requests
    Then poison is refused at all nodes and no innocent request is a suspect

  Scenario: Nodes agree even if updates are reordered, repeated or delayed
    # Gossip loses, repeats and reorders updates. Each crash count is written by one node only, and
    # the later of two counts wins, so all nodes arrive at the same standings.
    When 200 random histories of crashes, clearings and lifts reach three nodes in random orders
    Then after each history all nodes hold the same standings

  Scenario: Only the request that crashes targets is refused, over many seeds
    # Simulates six targets that each run one suspect at a time. The poison request crashes its
    # target, and most callers of lost requests send them again. An innocent request is refused only
    # if its target crashes at random and, when it is sent again, the next target does so as well.
    # That stays rare even where one run in a hundred crashes its target.
    When poison is sent among innocent requests with 40 fixed seeds
    Then with each seed poison is refused after it has caused 2 crashes
    And no innocent request is refused with any seed
    When in addition one run in 100 ends with a random crash of its target
    Then with each seed poison is refused after it has caused 2 crashes
    And at most 1 in 10000 innocent requests is refused over all seeds

  Scenario: Many new suspects do not evict a request that is known to crash targets
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    And poison is refused at all nodes
    When the target of n1 crashes under 1500 other requests one after the other
    Then poison is still refused at n1, which remembers 1024 requests at most

  Scenario: A quarantine ends when an operator lifts it or when it expires
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    And poison is refused at all nodes
    When an operator lifts the quarantine at n2
    Then poison is clear at all nodes
    When the target of n1 crashes under poison and 0 innocent requests
    And the target of n2 crashes under poison and 0 innocent requests
    And 31 minutes pass
    Then poison is clear at all nodes

  Scenario: Two suspects never run at one target at the same time
    # If the target crashed, both would be blamed, the innocent one as well.
    Given a limiter for suspects
    When suspects s1, s2 and s3 arrive
    Then only s1 runs
    When s2 is cancelled and s1 completes
    Then only s3 runs

  Scenario: A lookup that crashes its targets is refused everywhere after two crashes
    # Guards against a lookup that crashes the third target too. The lookup crashes its target,
    # which loses six other lookups in flight, and all seven callers send again. After the second
    # crash every node refuses that lookup, while the six and all other requests are served.
    Given a deployment with three targets of rollyard
    And 6 innocent slow lookups are in flight at each target
    When a lookup that crashes its target is sent repeatedly through all nodes
    Then it is refused with code 210 at every node
    And 2 targets have crashed
    When the crashed targets are started again and the innocent callers send again
    Then every innocent lookup is answered 200

  Scenario: A response that is cut short is not a crash
    # The target closes the connection but keeps running: its requests are lost, but do not become
    # suspects.
    Given a deployment with three targets of rollyard
    When a lookup whose response is cut short is sent 5 times
    Then each is refused with code 303
    And the target still serves others

  Scenario Outline: The retry of a lookup whose target crashed carries the evidence
    # The retry is sent within a millisecond of the crash, before gossip has reached the next node.
    # Without the evidence that node would run the request beside others, and its target would crash
    # as well. Once the request is convicted, another retry would only crash one more target.
    Given a lookup that crashes each target, blamed with standing <standing>
    When an entry node sends it
    Then the lookup reached <attempts> targets, and each attempt named the target that crashed before

    Examples:
      | standing  | attempts |
      | suspect   | 2        |
      | convicted | 1        |

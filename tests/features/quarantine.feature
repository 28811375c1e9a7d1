Feature: The one request that crashes each target that runs it

  Scenario: Two crashes name the guilty request among its neighbours
    # Nine lookups run beside the guilty one at the first target: all ten are suspects. Each runs
    # to its answer elsewhere and is cleared, but for the one under which a second target dies.
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    When the target of n1 dies under poison and 9 innocent requests
    Then poison and the 9 innocent requests are suspects at all nodes
    When the 9 innocent requests run to their answers at n2
    Then no innocent request is a suspect at any node
    When the target of n3 dies under poison and 9 innocent requests
    Then poison is refused at all nodes and no innocent request is a suspect

  Scenario: A suspect that runs beside innocent ones is blamed alone
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    When the target of n1 dies under poison and 0 innocent requests
    And the target of n2 dies under poison and 9 innocent requests
    Then poison is refused at all nodes and no innocent request is a suspect

  Scenario: News in any order, twice or late, comes to the same
    # Gossip loses, repeats and reorders. A node's own count is written by that node alone, and
    # the later of two counts wins, so each node comes to the same standing.
    When 200 random histories of crashes, clearings and lifts reach three nodes in random orders
    Then in each the nodes hold the same standings

  Scenario: Random crashes over many seeds convict the guilty and nobody else
    # Six targets run what comes, one suspect at a time each; poison kills its target, and most
    # callers of lost calls send them again. A target that dies by chance while it runs a suspect
    # convicts an innocent one: that needs two such deaths within one resend, and stays rare even
    # where one run in a hundred kills its target.
    When the poison is sent among innocent requests over 40 fixed seeds
    Then in each the poison is refused after 2 crashes of its own
    And no innocent request is refused in any
    When besides, one run in 100 ends with the chance death of its target
    Then in each the poison is refused after 2 crashes of its own
    And at most 1 in 10000 innocent requests is refused in all

  Scenario: A flood of suspects does not push out what is known to crash targets
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    And poison is refused at all nodes
    When the target of n1 dies under 1500 other requests one after the other
    Then poison is still refused at n1, which remembers 1024 requests at most

  Scenario: Time and operators lift a quarantine
    Given a quarantine at nodes n1, n2 and n3 that refuses after 2 crashes
    And poison is refused at all nodes
    When an operator lifts it at n2
    Then poison is clear at all nodes
    When the target of n1 dies under poison and 0 innocent requests
    And the target of n2 dies under poison and 0 innocent requests
    And 31 minutes pass
    Then poison is clear at all nodes

  Scenario: Two suspects never run at one target at the same time
    # Beside each other at a crash both would be blamed, the innocent one with the guilty.
    Given a lane for suspects
    When suspects s1, s2 and s3 come
    Then s1 runs alone
    When s2 is given up and s1 ends
    Then s3 runs alone

  Scenario: A crashing lookup is refused everywhere after two targets, its neighbours are served
    # A caller's lookup kills its target, and with it six others in flight. All seven callers
    # send again. The second target dies under the lookup too; then every node refuses it, while
    # the six and all other calls are served. Without this the third target would die as well.
    Given a deployment with three targets of rollyard
    And 6 innocent slow lookups are in flight at each target
    When a lookup that crashes its target is sent again and again through all nodes
    Then it is refused with code 210 at every node
    And 2 targets have crashed
    When the crashed targets are started again and the innocent callers send again
    Then every innocent lookup is answered 200

  Scenario: A hung-up answer is no crash
    # The target closes the connection but lives: its calls are lost, not suspects.
    Given a deployment with three targets of rollyard
    When a lookup whose answer is cut short is sent 5 times
    Then each is refused with code 303
    And the target still serves others

  Scenario Outline: The retry of a lookup whose target died carries the evidence
    # The retry leaves within a millisecond of the crash, before gossip has told its next target.
    # Without the evidence that node lets the request in beside others, and the next target dies;
    # and once it is convicted, a retry would only take the target after that.
    Given a lookup under which each target dies, blamed with standing <standing>
    When an entry node sends it
    Then <attempts> targets were asked, and each after the first was told of the one before

    Examples:
      | standing  | attempts |
      | suspect   | 2        |
      | convicted | 1        |

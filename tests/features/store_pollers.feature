Feature: Few nodes poll the store, and no change is missed

  Scenario Outline: Three nodes poll, whatever the size of the system
    Given <nodes> nodes with store access
    Then 3 of them poll

    Examples:
      | nodes |
      | 12    |
      | 77    |
      | 2100  |

  Scenario: A single node polls
    Given 1 nodes with store access
    Then 1 of them poll

  Scenario: Pollers that lose their store access are replaced
    # Guards against a change that is missed although the store still serves other hosts.
    Given 12 nodes with store access
    When the pollers lose their store access
    Then 3 others poll as well

  Scenario: Each side of a partition has pollers of its own
    Given 12 nodes with store access
    When a partition splits them into halves
    Then 3 poll on each side

  Scenario: In an outage of the store the nodes poll in turn and not all at once
    # Guards against a call from every node at the moment the store fails, and every second after.
    Given 77 nodes with store access
    When each node that polls loses its store access
    Then at most 3 nodes poll at the same time, and all have polled
    And 3 nodes keep polling every second

  Scenario Outline: A failed poller is replaced by one other node
    # Guards against all nodes polling the store when one poller fails.
    Given <nodes> nodes with store access
    When one of the pollers fails
    Then 1 others poll as well

    Examples:
      | nodes |
      | 12    |
      | 195   |

Feature: Few nodes poll the store, and no change is missed

  Scenario Outline: A handful of nodes poll, whatever the system's size
    Given <nodes> nodes with store access
    Then 3 of them poll

    Examples:
      | nodes |
      | 12    |
      | 77    |
      | 2100  |

  Scenario: A node that is alone polls
    Given 1 nodes with store access
    Then 1 of them poll

  Scenario: Pollers that lose their store access are replaced
    # Guards against a change that is not seen while the store serves other hosts.
    Given 12 nodes with store access
    When the pollers lose their store access
    Then 3 others poll as well

  Scenario: Each side of a partition has pollers of its own
    Given 12 nodes with store access
    When they are cut into halves that do not hear each other
    Then 3 poll on each side

  Scenario: In an outage for all, the nodes poll in turn and not all at once
    # Guards against a call of each node in the moment at which the store fails, and each second.
    Given 77 nodes with store access
    When each node that polls loses its store access
    Then at most 3 nodes poll in one moment, and all have polled
    And 3 go on polling every second

  Scenario Outline: A poller that is gone is replaced by one other
    # Guards against every node polling the store when one poller dies.
    Given <nodes> nodes with store access
    When one of the pollers is gone
    Then 1 others poll as well

    Examples:
      | nodes |
      | 12    |
      | 195   |

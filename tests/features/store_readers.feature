Feature: Few nodes read the store, and no change is missed

  Scenario Outline: A handful of nodes read, whatever the system's size
    Given <nodes> nodes that the store answers
    Then 3 of them read

    Examples:
      | nodes |
      | 12    |
      | 77    |
      | 2100  |

  Scenario: A node that is alone reads
    Given 1 nodes that the store answers
    Then 1 of them read

  Scenario: The places of readers that the store turns away are taken
    # The store serves some hosts and refuses others; a change must still come at once.
    Given 12 nodes that the store answers
    When the store answers none of those that read
    Then 3 others read as well

  Scenario: Each side of a partition has readers of its own
    Given 12 nodes that the store answers
    When they are cut into halves that do not hear each other
    Then 3 read on each side

  Scenario: In an outage for all, the nodes try in turn and not all at once
    # The store is down. Readers are turned away, the next three try, and so on; 77 calls in the
    # moment at which it fails, and 77 each second, would be the last thing that it needs.
    Given 77 nodes that the store answers
    When it turns away each node that tries
    Then at most 3 nodes try in one moment, and all have tried
    And 3 go on trying every second

  Scenario Outline: The place of a reader that is gone is taken by one other
    # Guards against every node reading the store when one reader dies.
    Given <nodes> nodes that the store answers
    When one of those that read is gone
    Then 1 others read as well

    Examples:
      | nodes |
      | 12    |
      | 195   |

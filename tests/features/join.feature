Feature: Finding peers through the platform at a fixed cost for the whole system

  Scenario Outline: The rate of page reads does not grow with the number of members
    Then <members> members read between <least> and <most> pages a second in total

    Examples:
      | members | least | most |
      | 3       | 0.2   | 0.4  |
      | 200     | 0.8   | 1.2  |
      | 2100    | 0.8   | 1.2  |

  Scenario: Nodes do not all retry at once after an outage
    # 2,100 nodes have failed to reach the platform ten times in a row, all since the same
    # moment. If they retried at the same time, they would overload the platform again.
    When 2100 nodes schedule their next attempt after 10 failures
    Then no second of the next minute has more than 150 of them

  Scenario: Only rows of hosts that have long been dead are deleted
    # Hosts are replaced under new names every day. The rows of dead hosts would accumulate until
    # a starting node finds only dead contacts.
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When it polls rows of alive, dead, fresh and unknown
    Then only the row of dead was deleted
    And it has pinged fresh and unknown

  Scenario: A row that was deleted by mistake is written again
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When its own row vanishes and it polls
    Then its own row is there again

  Scenario: A malformed row does not keep a node from joining
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When it polls a malformed row
    Then nothing was deleted and nothing failed

  Scenario: Pages from random keys sample all rows evenly
    Given 2000 rows of nodes with names in sequence
    Then 3000 pages of 16 rows from random keys hold no row more than 80 times

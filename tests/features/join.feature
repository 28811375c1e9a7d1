Feature: Finding peers through the platform at a cost fixed for the whole system

  Scenario Outline: The pages read a second do not grow with the members
    Then <members> members read between <least> and <most> pages a second together

    Examples:
      | members | least | most |
      | 3       | 0.2   | 0.4  |
      | 200     | 0.8   | 1.2  |
      | 2100    | 0.8   | 1.2  |

  Scenario: Nodes do not come back from an outage all at once
    # 2,100 nodes have failed to reach the platform ten times in a row, all since the same
    # moment. If they tried again together, the service would fail under them again.
    When 2100 nodes plan their next attempt after 10 failures
    Then no second of the next minute has more than 150 of them

  Scenario: Rows of hosts that are gone are deleted, others are not
    # Hosts are replaced under new names every day. Rows of dead ones would pile up until a
    # starting node finds only dead contacts.
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When it polls rows of alive, dead, fresh and unknown
    Then only the row of dead was deleted
    And it has pinged fresh and unknown

  Scenario: A row that was deleted wrongly is written again
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When its own row vanishes and it polls
    Then its own row is there again

  Scenario: A row that cannot be read does not keep a node down
    Given a node that knows "alive", and "dead" as dead for 700 seconds, and "fresh" for 10
    When it polls a row of nonsense
    Then nothing was deleted and nothing failed

  Scenario: Pages from random places sample all rows evenly
    Given 2000 rows of nodes with names in sequence
    Then 3000 pages of 16 rows from random places hold no row more than 80 times

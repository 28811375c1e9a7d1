@fixture.fresh_relay_deployment
Feature: Keys that are removed, and nodes that can't know of it

  The three hosts of relay_path.feature, started anew for each scenario, with the organisations of
  organisations_path.feature.

  Scenario: A removed key is refused by every node, also on connections opened before
    Given the organisations north and south are configured
    And connections to all nodes on which "key-north-1" was accepted
    When the key "key-north-1" is removed
    Then after 2.5 s each of these connections refuses it with 401 and accepts "key-north-2"

  Scenario: A removed key is refused by a node that the store refuses
    Given the organisations north and south are configured
    And the store refuses the requests of "a"
    And connections to all nodes on which "key-north-1" was accepted
    When the key "key-north-1" is removed
    Then after 2.5 s each of these connections refuses it with 401 and accepts "key-north-2"

  Scenario Outline: A request whose key is removed is not offered again
    # Guards against retries that run for an organisation that has taken its key back.
    Given the organisations north and south are configured
    When the key of "<line>" is removed while its first target has it
    Then it is answered <status> and was offered once

    Examples:
      | line                             | status |
      | GET /look/x?work_ms=1800&refuse=1 | 401    |
      | GET /look/x?work_ms=1800&cut=1    | 502    |

  Scenario: Without a configuration, requests with keys get 503
    # Guards against keys that are denied by a node that can't know them yet.
    Given the organisations north and south are configured
    And the store is down and every node is started again
    When with headers "Key: key-north-1" a caller at "a" sends "GET /look/x"
    Then it is refused with 503 and code 207, and may be retried

  Scenario: With strict revocation a node refuses keys when it can't know whether they are removed
    # Guards against a removed key that is accepted for as long as a partition lasts.
    Given the organisations north and south are configured
    And every node is strict and needs contact every 2.5 s
    When the store refuses only "a" for 5 s
    Then all nodes accept "key-north-1" meanwhile
    When the strict node of "b" is killed and started again
    Then within 3 s each node accepts "key-north-1"
    When the store is down
    Then within 5 s each node refuses "key-north-1" with 503 and code 214
    And all nodes serve "/open/x" without a key
    When the store is back
    Then within 4 s each node accepts "key-north-1"

  Scenario: Without strict revocation keys are accepted in a store outage
    Given the organisations north and south are configured
    When the store is down
    Then all nodes accept "key-north-1" for 6 s

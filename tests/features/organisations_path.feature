@fixture.relay_deployment
Feature: Organisations and their keys on the way from caller to target

  The three hosts of relay_path.feature. The organisations north and south are configured, and the
  routes "/look/", "/order/" and "/down/" need a key; "/open/" is public.

  Background:
    Given the organisations north and south are configured

  Scenario Outline: A request without exactly one known key is refused and does not run
    # Guards against requests that run for nobody, or for an organisation that does not pay for them.
    When with headers "<headers>" a caller at "c" sends "GET /look/x"
    Then it is refused with 401 and code 112, has not run, and is not invited to retry

    Examples:
      | headers                                   |
      | Tenant: north                             |
      | Key: key-unknown                          |
      | Key: key-unknown; Tenant: north           |
      | Key:                                      |
      | Key: key-north-1; Key: key-south-1        |
      | Key: key-north-1; kEY: key-north-1        |
      | Key: key-north-1, key-north-1             |
      | Key: KEY-NORTH-1                          |

  Scenario Outline: A target sees the name of the key's organisation and nothing else about it
    # Guards against callers that act for another organisation, and against keys that leak to targets.
    When with headers "Key: key-north-1; <headers>" a caller at "<name>" sends "<line>"
    Then its target saw organisation "north" and no key

    Examples:
      | headers                                | name | line          |
      | X: 1                                   | a    | GET /look/x   |
      | X: 1                                   | c    | GET /look/x   |
      | Tenant: south                          | c    | GET /look/x   |
      | TENANT: south                          | a    | POST /order/x |
      | tenant: south; Tenant: south; tENANT:  | b    | POST /order/x |
      | Connection: Tenant, Key                | c    | GET /look/x   |
      | Connection: Tenant, Key; Tenant: south | a    | GET /down/x   |

  Scenario Outline: A public route needs no key and names no organisation
    # Guards against calls of targets, which carry no key, that are refused or billed to somebody.
    When with headers "<headers>" a caller at "c" sends "GET /open/x"
    Then its target saw organisation "nobody" and no key

    Examples:
      | headers                          |
      | X: 1                             |
      | Tenant: south                    |
      | Key: key-unknown                 |
      | Key: key-north-1; Tenant: south  |

  Scenario: A download whose target closes the connection is retried at another one
    When with headers "Key: key-north-1" a caller at "c" sends "GET /down/x?cut=1"
    Then it ran at two targets

  Scenario: Each request of a connection is authenticated
    # Guards against a connection on which one valid key lets later requests run.
    When a caller at "c" pipelines keys "key-north-1, key-unknown, key-south-2, -, key-north-1"
    Then it gets statuses "200, 401, 200, 401, 200"

  Scenario: No log line holds a key, whatever fails
    # Guards against keys that can be read by everybody who may read logs.
    When with headers "Key: key-north-1" a caller at "c" sends "GET /look/x?cut=1"
    And with headers "Key: key-north-1; Key : key-south-1" a caller at "c" sends "GET /look/x"
    And with headers "Key: key-unknown" a caller at "c" sends "GET /look/key"
    And with headers "Key: key-north-1" a caller at "c" sends "GET /nowhere/x"
    And documents with invalid organisations are written
    Then no log and no metric holds a key, and the logs name what is invalid
    And all nodes accept "key-south-1" for 1 s

  Scenario: The command line shows the organisation of a refused request
    When with headers "Key: key-south-1" a caller at "a" sends "POST /order/x?cut=1"
    Then "explain" shows that it was refused for organisation "south"
    And the log of "a" says that 2 organisations are configured

  Scenario: Without organisations, keys and names reach the target unchanged
    # Guards against changes for deployments that use these headers for something else.
    When the organisations are removed
    And with headers "Key: key-unknown; Tenant: any" a caller at "c" sends "GET /look/x"
    Then its target saw organisation "any" and key "key-unknown"

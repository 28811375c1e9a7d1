Feature: Decisions about organisations and their keys

  Scenario Outline: An invalid organisation makes the document invalid, and the error holds no key
    # Guards against a document that is applied in part, and against keys in logs, since the error
    # is logged.
    When the operators configure organisations with <fault>
    Then the document is rejected with an error that names "<named>" and holds no key

    Examples:
      | fault                           | named                           |
      | one key in two organisations    | north and south have a key      |
      | an empty name                   | no name                         |
      | a blank name                    | no name                         |
      | a number as name                | no name                         |
      | a name that occurs twice        | north is defined twice          |
      | a line break in a name          | can't be printed                |
      | a text as rate                  | rate_per_s of north             |
      | an empty text as rate           | rate_per_s of north             |
      | a truth value as rate           | rate_per_s of north             |
      | a list of keys as rate          | rate_per_s of north             |
      | a rate that is no number        | rate_per_s of north             |
      | a rate below 0                  | rate_per_s of north             |
      | a rate of more than 300 digits  | rate_per_s of north             |
      | a text as burst                 | burst of north                  |
      | an infinite priority            | priority of north               |
      | a key in place of the list      | the keys of north               |
      | an empty key                    | the keys of north               |
      | a number as key                 | the keys of north               |
      | a key that can't be encoded     | UnicodeEncodeError              |
      | a byte that isn't UTF-8         | UnicodeDecodeError              |
      | half of its bytes               | JSONDecodeError                 |

  Scenario: An organisation without limits, and one key listed twice, are valid
    When the operators configure organisations with only what is needed
    Then "north" has no quota and its key is found

  Scenario: The organisation's priority goes before that of the route
    # Guards against a route of an unimportant organisation that displaces an important one.
    Then requests of organisation/route priority "0/0, 0/9, 1/0, -/1, 1/2, 2/0, -/9" are ordered so
    And without organisations the priority is the route's

  Scenario: A contact counts from the poll, and only with the newest known version
    # Guards against a node that runs requests with removed keys although it can't know of the
    # removal.
    Given a node that must have contact every 5.0 s
    Then the node's version counts as stale
    When the store answers its poll of 1.0 s ago
    Then 3.9 s later the version counts as not stale
    And 0.2 s later the version counts as stale
    When another node with version 1 reports a contact of 2.0 s ago
    Then 2.9 s later the version counts as not stale
    When another node with version 2 reports a contact of 0.0 s ago
    Then 0.2 s later the version counts as stale

  Scenario: Nodes that only hear of each other become stale
    # Guards against two nodes in a partition that keep each other's contact young for ever.
    Given two nodes of which one has had contact
    When they report to each other for 6.0 s
    Then both are stale

  Scenario: In a partition those stay able to decide who reach a node that reaches the store
    # Guards against a node that refuses keys although it can hear of a removal, and against nodes
    # without any contact that go on accepting removed keys.
    Given 24 strict nodes of which 3 poll the store
    When 1 node reaches only one other that doesn't poll, and 6 reach only each other, for 20 s
    Then just those 6 are stale
    When the partition ends for 2 s
    Then none of the nodes is stale

  Scenario: Reports that waited while the node was suspended do not count
    # Guards against a resumed node that takes the reports in its socket for new ones.
    Given a node whose contact is tracked
    When it is suspended for 30 s and then gets a report that is 30 s old but says 0
    Then the node's version counts as stale
    When it gets a report that says 0 after another 1.0 s
    Then the node's version counts as not stale

  Scenario: A report of a contact is passed on in the failure domain, and unknown datagrams are ignored
    # Guards against a datagram that older nodes, which don't know it, take for another one.
    Then a report of a contact is decoded as it was sent, and an invalid one is ignored
    And a node passes a report on only if it has to

  Scenario: At most one line a second is logged for refused keys
    # Guards against a caller with a wrong key that fills the logs of all nodes.
    When 100 requests with unknown keys are refused within 1.5 s
    Then at most 3 lines are logged that count all 100

  Scenario: The settings of strict revocation have defaults
    Then without settings the revocation is not strict and takes 5.0 s
    And "terms.bounds.strict_revoke=true" with "terms.bounds.revoke_s=3" is strict after 3.0 s

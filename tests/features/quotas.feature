Feature: Quotas of organisations on real nodes

  Six hosts run counter, in three failure domains. The organisation "tannery" may send 40 requests a
  second, the organisation "mill" has no limit. All processes are real.

  Scenario: An organisation over its quota gets the rate, and a 429 says when to come back
    # Guards against nodes that each allow the whole rate, and against requests refused below it.
    Given six hosts with a quota of 40 requests a second for "tannery"
    When "tannery" sends 60 requests a second for 6 s to all nodes
    Then each is answered 200, or 429 with Retry-After
    And between 0.85 and 1.1 of the quota is served
    And no 5 s have more runs than the rule allows
    And the log has a line "quota_refused" with a count at most once a second and node
    And the metrics count the admitted and the refused requests of "tannery"

  Scenario: An organisation below its quota, or without one, is not refused
    # Guards against requests refused below the quota, and against a cost for those without one.
    Given six hosts with a quota of 40 requests a second for "tannery"
    When "tannery" sends 20 requests a second for 5 s to all nodes
    Then at least 0.98 of the requests are answered 200
    When "mill" sends 60 requests a second for 2 s to all nodes
    Then at least 0.98 of the requests are answered 200
    And the nodes have counted no request of "mill" for a quota

  Scenario: The owner of an organisation's quota is killed under load
    # Guards against a quota that is granted twice, and against an organisation without an owner.
    Given six hosts with a quota of 40 requests a second for "tannery"
    When "tannery" sends 60 requests a second for 14 s to all nodes, and its owner is killed after 4 s
    Then no 5 s have more runs than the rule allows
    And at least 0.8 of the quota is served in the last 4 s
    And a node has logged "quota_owner" with another owner

  Scenario: A held request's connection may close
    # Guards against a node that fails or loses a token when a caller leaves before the decision.
    Given six hosts with a quota of 40 requests a second for "tannery"
    When callers of "tannery" close 40 connections right after their request
    Then no node has logged a fault
    And "tannery" sends 10 requests a second for 2 s to all nodes
    And at least 0.98 of the requests are answered 200

  Scenario: A request that no target can run gives its token back
    # Guards against a quota that is used up by requests that have not run.
    Given six hosts with a quota of 40 requests a second for "tannery"
    When "tannery" sends 100 requests to a service without a target through one node, one by one
    Then nearly all are answered 503 and few 429

Feature: Fair shares of organisations on real nodes

  Three hosts with a target of four slots each, of which three are used. All processes are real.

  Scenario: One organisation floods beside eight small ones
    # Guards against shares that are decided by the queue but not reached by requests, because their
    # organisation isn't passed on or because the entry node refuses them before any queue.
    Given three nodes and targets with 9 organisations
    When one sends 300 requests a second beside eight that send 5, for 8 s
    Then at least 85 in 100 of the requests of the eight are served, and more than of the one
    And the nodes' logs name the organisation of answered, refused and displaced requests
    And the logs and the metrics of each node show demanded, entitled and served slots

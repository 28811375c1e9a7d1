Feature: Failure domains that operators evacuate get no requests

  Clocks, stores and connections are simulated.

  Scenario: A node reads the start and the end of an evacuation from the store
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    Then it knows that "south-b" is evacuated
    When the store shows at version 12 that nothing is evacuated
    Then it knows that nothing is evacuated

  Scenario: An evacuation row with an invalid value is still in force
    # Guards against requests to a domain whose evacuation row has a value that can't be parsed.
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated by a row with an invalid value
    Then it knows that "south-b" is evacuated

  Scenario: An unknown domain is stored and a row without a domain is ignored
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "nowhere" and "" are evacuated
    Then it knows that "nowhere" is evacuated

  Scenario: An older answer of the store changes nothing
    # Guards against a delayed answer that ends an evacuation.
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    And the store shows at version 9 that nothing is evacuated
    Then it knows that "south-b" is evacuated

  Scenario: An evacuation that was ended and started again is in force
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    And the store shows at version 12 that nothing is evacuated
    And the store shows at version 14 that "south-b" is evacuated
    Then it knows that "south-b" is evacuated

  Scenario: A node that can't reach the store learns of an evacuation from another node
    Given a node in failure domain "south-a"
    And another node to which the store has shown at version 10 that "south-b" and "south-c" are evacuated
    When the node receives the other one's status
    Then it fetches the other one's evacuations
    And it knows that "south-b" and "south-c" are evacuated
    And it announces version 10

  Scenario: The end of an evacuation reaches a node that can't reach the store
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    Given another node to which the store has shown at version 12 that nothing is evacuated after "south-b"
    When the node receives the other one's status
    Then it fetches the other one's evacuations
    And it knows that nothing is evacuated

  Scenario: A node that has the same evacuations fetches nothing
    # Guards against a fetch for each status in a fleet where all nodes know of an evacuation.
    Given a node in failure domain "south-a"
    And another node to which the store has shown at version 10 that "south-b" is evacuated
    When the store shows at version 11 that "south-b" is evacuated
    And the node receives the other one's status
    Then it fetches nothing

  Scenario: A restarted node knows of evacuations before it accepts requests
    # Guards against requests that a new process accepts after it has its configuration and before it
    # has the evacuations.
    Given a node in failure domain "south-a" that has just been started
    When another node sends it its configuration and that "south-a" is evacuated
    Then it knew of the evacuation when its configuration came into force

  Scenario: The node of an evacuated target admits no requests
    Given a target that accepts requests and runs 2 requests with 9 slots
    When its failure domain is evacuated
    Then it accepts no requests, and an offered one is declined as not run
    And the 2 running requests are completed
    When the evacuation is ended
    Then it accepts requests

  Scenario: Queued requests are declined when their target is evacuated
    # Guards against queued requests that are still sent to an evacuated target.
    Given a target that accepts requests and runs 7 requests with 9 slots
    And 4 more requests are queued
    When its failure domain is evacuated
    And 1 of the running requests ends
    Then the queued requests were declined as not run and none of them was sent

  Scenario: A request whose connection opens after the evacuation is not sent
    # Guards against a request that was admitted before the evacuation and is sent seconds later.
    Given a target that accepts requests whose connections open after 1.5 s
    When a request is admitted
    And its failure domain is evacuated
    And 2.0 s pass for the target's connections
    Then the request was declined as not run and never sent

  Scenario: A stopping node admits only requests that end before its shutdown
    # Guards against requests that are aborted by the shutdown of the node of their target.
    Given a target that accepts requests and runs 1 requests with 9 slots
    When its node shuts down in 4.0 s
    Then a request whose caller waits for 3.0 s is admitted
    And a request whose caller waits for 5.0 s is declined as not run

  Scenario: An entry node sends nothing to an evacuated domain
    # Guards against requests to a host that was disconnected before it learned of the evacuation, so
    # that its last status still shows it as accepting.
    Given an entry node that knows of targets in "south-a" and "south-b"
    When the entry node knows that "south-b" is evacuated
    Then it chooses among the targets in "south-a" only
    When the entry node knows that "south-a" and "south-b" are evacuated
    Then it finds no target

Feature: Failure domains that operators evacuate get no requests

  On clocks and stores of the test's own.

  Scenario: A node reads an evacuation from the store, and its end
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    Then it knows that "south-b" is evacuated
    When the store shows at version 12 that nothing is evacuated
    Then it knows that nothing is evacuated

  Scenario: A row whose value can't be read still asks for an evacuation
    # Guards against requests to a domain whose row holds bad bytes.
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated by a row of bad bytes
    Then it knows that "south-b" is evacuated

  Scenario: A domain nobody knows, and a row that names none
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "nowhere" and "" are evacuated
    Then it knows that "nowhere" is evacuated

  Scenario: An older answer of the store changes nothing
    # Guards against a late answer that takes an evacuation back.
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    And the store shows at version 9 that nothing is evacuated
    Then it knows that "south-b" is evacuated

  Scenario: An evacuation that was taken back and set again
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    And the store shows at version 12 that nothing is evacuated
    And the store shows at version 14 that "south-b" is evacuated
    Then it knows that "south-b" is evacuated

  Scenario: A node that can't reach the store learns of it from another node
    Given a node in failure domain "south-a"
    And another node to which the store has shown at version 10 that "south-b" and "south-c" are evacuated
    When the node hears the other one's status
    Then it fetches what the other one knows
    And it knows that "south-b" and "south-c" are evacuated
    And it tells others of version 10

  Scenario: The end of an evacuation reaches a node that can't reach the store
    Given a node in failure domain "south-a"
    When the store shows at version 10 that "south-b" is evacuated
    Given another node to which the store has shown at version 12 that nothing is evacuated after "south-b"
    When the node hears the other one's status
    Then it fetches what the other one knows
    And it knows that nothing is evacuated

  Scenario: A node that knows as much fetches nothing
    # Guards against a fetch for each status of a fleet in which all know of an evacuation.
    Given a node in failure domain "south-a"
    And another node to which the store has shown at version 10 that "south-b" is evacuated
    When the store shows at version 11 that "south-b" is evacuated
    And the node hears the other one's status
    Then it fetches nothing

  Scenario: A restarted node knows of evacuations before it takes requests
    # Guards against requests that a new process takes between its configuration and its evacuations.
    Given a node in failure domain "south-a" that has just been started
    When another node sends it its configuration and that "south-a" is evacuated
    Then it knew of the evacuation when its configuration came into force

  Scenario: The node of an evacuated target lets nothing in
    Given a target that takes work and runs 2 requests with 9 slots
    When its failure domain is evacuated
    Then it takes no work, and what is offered is declined as not run
    And the 2 requests run to their end
    When the evacuation is taken back
    Then it takes work

  Scenario: What is queued at a target when it is evacuated
    # Guards against a queue that goes on to feed an evacuated target.
    Given a target that takes work and runs 7 requests with 9 slots
    And 4 more requests are queued
    When its failure domain is evacuated
    And 1 of the requests that run ends
    Then the queued requests were declined as not run and none of them was sent

  Scenario: A connection that opens after the evacuation
    # Guards against a request that was let in before and is written seconds later.
    Given a target that takes work whose connections open after 1.5 s
    When a request is let in
    And its failure domain is evacuated
    And the target's connections have had 2.0 s
    Then the request was declined as not run and never sent

  Scenario: A stopping node lets in only what ends before it does
    # Guards against requests that are cut off by the end of the node beside their target.
    Given a target that takes work and runs 1 requests with 9 slots
    When its node ends within 4.0 s
    Then a request whose caller waits for 3.0 s is let in
    And a request whose caller waits for 5.0 s is declined as not run

  Scenario: An entry node sends nothing to an evacuated domain
    # Guards against the last status of a host that was cut off before it knew.
    Given an entry node that has heard of targets in "south-a" and "south-b"
    When the entry node knows that "south-b" is evacuated
    Then it chooses among the targets in "south-a" only
    When the entry node knows that "south-a" and "south-b" are evacuated
    Then it finds no target

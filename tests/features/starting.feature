Feature: A node starts quickly and with little memory

  Scenario: Modules that only metrics readers need are not imported at the start
    # After a power failure all nodes start at once while callers wait. On half a core each 0.1 s of
    # imports is 0.2 s in which nothing is served.
    When a node's program is imported as the deploy file does it
    Then neither "opentelemetry" nor "pkg_resources" nor "pydantic" was imported
    And no garbage collection ran meanwhile

  Scenario: A started node collects garbage
    # The deploy file disables garbage collection while it imports. If it stayed disabled, a node
    # would grow until it is killed for its memory use.
    Given a process that has disabled garbage collection
    When the node in it has started
    Then garbage collection is enabled, and earlier objects are excluded from it

  Scenario: Latencies recorded before the first scrape are included in it
    Given a node's metrics that nobody has scraped
    When 3 requests of 20 ms were answered
    Then the first scrape reports 3 requests of 20 ms
    And the second scrape reports 4 requests after one more

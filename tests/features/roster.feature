Feature: The roster of real processes when hosts, the platform and the network fail

  Scenario: A node starts while the platform is down
    # The new node cannot write or read a row. It asks the contacts of its settings for a
    # snapshot and serves callers of the services the others have.
    Given nodes a1 with orders and b1 with counter that are known to each other
    When the platform fails
    And node c1 starts with a1 and b1 as contacts
    Then a lookup of orders through c1 is served
    And node c1 says that it is ready

  Scenario: A node that finds neither platform nor peer waits and says so
    # It knows no target. Were it ready, callers would be sent to it and refused.
    Given nodes a1 with orders and b1 with counter that are known to each other
    When the platform fails
    And node c1 starts without contacts
    Then node c1 says that it is not ready
    When the platform is back
    Then a lookup of orders through c1 is served
    And node c1 says that it is ready

  Scenario: A host fails and its roster entry goes
    # The node and the target of a host die at once, without a word. Callers are served by the
    # other target all along or told NOT_RUN; after a while nobody lists the host.
    # Of two nodes alone neither could tell which of them is cut off, so there are three.
    Given nodes a1 with orders and b1 with orders that are known to each other
    And node c1 starts with a1 and b1 as contacts
    When host b1 dies
    Then 50 lookups of orders through a1 are answered at once, some served
    And a1 counts 2 members in use within 60 seconds

  Scenario: A host is replaced at the same addresses by one with another service
    # Calls for the old service must not reach the new target, which would not know them.
    Given nodes a1 with orders and b1 with counter that are known to each other
    When host b1 dies
    And host b1 is replaced by one with stock
    Then a lookup of stock through a1 is served
    And a lookup of counter through a1 is refused

  Scenario: The platform's load does not grow with calls or seconds
    Given nodes a1 with orders and b1 with counter that are known to each other
    When 200 lookups of orders are made through b1
    Then the platform has taken at most 8 writes

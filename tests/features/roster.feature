Feature: The roster of real processes when hosts or the platform fail

  Scenario: A node starts while the platform is down
    # Guards against a node that cannot serve because it can neither read nor write rows. It asks
    # the contacts in its settings for a snapshot and serves callers of the services that the others
    # have.
    Given nodes a1 with orders and b1 with counter that know each other
    When the platform fails
    And node c1 starts with a1 and b1 as contacts
    Then a lookup of orders through c1 is served
    And node c1 reports that it is ready

  Scenario: A node that reaches neither the platform nor a peer is not ready
    # The node knows no target. If it were ready, callers would be sent to it and refused.
    Given nodes a1 with orders and b1 with counter that know each other
    When the platform fails
    And node c1 starts without contacts
    Then node c1 reports that it is not ready
    When the platform is back
    Then a lookup of orders through c1 is served
    And node c1 reports that it is ready

  Scenario: A failed host is removed from the roster
    # The node and the target of a host end at the same time, without notice. Meanwhile callers are
    # served by the other target or told NOT_RUN; after a while no node lists the host. There are
    # three nodes because neither of two could tell which of them is cut off.
    Given nodes a1 with orders and b1 with orders that know each other
    And node c1 starts with a1 and b1 as contacts
    When host b1 fails
    Then 50 lookups of orders through a1 are answered at once, some served
    And a1 counts 2 members in use within 60 seconds

  Scenario: A host is replaced at the same addresses by one with another service
    # Guards against calls for the old service that reach the new target, which does not know them.
    Given nodes a1 with orders and b1 with counter that know each other
    When host b1 fails
    And host b1 is replaced by one with stock
    Then a lookup of stock through a1 is served
    And a lookup of counter through a1 is refused

  Scenario: The platform's load does not grow with calls or time
    Given nodes a1 with orders and b1 with counter that know each other
    When 200 lookups of orders are made through b1
    Then the platform has received at most 8 writes

Feature: When refused callers are told to come back

  Scenario: Callers refused in one moment do not come back in one moment
    # Saturation: two hundred are refused at once. Told the same time, they would be the same burst
    # again; each is told one of its own, in time for its goal.
    Given 200 callers refused with a wait of 200 ms and 400 ms left of their goal, for work of 100 ms
    Then no tenth of the time holds more than a fifth of their returns
    And all come back after at least 40 ms and with time for their work

  Scenario: A caller whose goal has passed comes back when there may be room
    Given 200 callers refused with a wait of 300 ms and 0 ms left of their goal, for work of 100 ms
    Then all come back between 150 and 450 ms

  Scenario: Nobody asks in a loop for a service without a target
    Given 200 callers refused for want of a target
    Then all come back between 125 and 250 ms

  Scenario: A caller whose request a target turned away at random comes back at once
    # All targets of a service shed half of what they get. A caller with a goal of 100 ms has time for
    # two more tries, each as good as the first; told to wait 150 ms, it has none.
    Given 200 callers whose requests were turned away by their targets
    Then all come back between 5 and 15 ms
    And no tenth of the time holds more than a fifth of their returns

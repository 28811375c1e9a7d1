Feature: Calls that targets make are told from the requests of callers

  Load pattern: targets with two slots whose requests each make a call to another service. A call
  that fails fails the request that made it.

  Scenario: A route whose requests only arrive while the own target runs something carries calls
    # Guards against refusing calls at once, by which the work done for their requests is lost.
    Given an entry node whose target is idle 30 in 100 of the time
    When 40 requests of callers and 40 calls arrive
    Then the calls' route carries calls and the callers' route does not

  Scenario: At a target that is always busy nothing is told from few arrivals
    # Guards against taking the requests of all callers for calls in a burst.
    Given an entry node whose target is idle 1 in 100 of the time
    When 40 requests of callers and 40 calls arrive
    Then neither route carries calls

  Scenario: A route that carried calls and now gets requests of callers is no longer taken for one
    # Guards against a mistake that lasts until the node ends.
    Given an entry node whose target is idle 30 in 100 of the time
    When 40 requests of callers and 40 calls arrive
    And 40 requests of callers arrive on the calls' route
    Then neither route carries calls

  Scenario: Routes that are no longer configured are forgotten
    # Guards against memory that grows with each version of the configuration.
    Given an entry node whose target is idle 30 in 100 of the time
    When 40 requests of callers and 40 calls arrive
    And the calls' route is no longer configured
    Then neither route carries calls

  Scenario Outline: A call that found no slot is offered again while there is time
    # Guards against calls that fail at once, and against calls that wait beyond their deadline.
    Then a call offered <rounds> times again with <left> ms left <is> offered again

    Examples:
      | rounds | left | is     |
      | 0      | 400  | is     |
      | 7      | 400  | is     |
      | 8      | 400  | is not |
      | 0      | 40   | is not |

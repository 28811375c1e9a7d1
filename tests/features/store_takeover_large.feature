Feature: Changes are in force in time at many hosts, whichever processes are lost

  As in store_takeover.feature, with fleets in which hosts probe each other and push no statuses.

  Scenario Outline: The pollers lose power beside a change
    # Guards against a change that no host reads until the lost pollers count as gone.
    Given <hosts> hosts that may miss a change for <limit> s
    When <which> lose power on each of <seeds> seeds, and the configuration changes up to 2 s later
    Then each change is in force at all others within <limit> s

    Examples:
      | hosts | limit | which                             | seeds |
      | 74    | 2.5   | the pollers                       | 3     |
      | 74    | 2.5   | 60 of 100 hosts, with the pollers | 3     |
      | 195   | 3     | 60 of 100 hosts, with the pollers | 2     |

  Scenario: The hosts that take over lose power as well
    # Guards against a bound that holds for one loss and not for losses in a row.
    Given 74 hosts that may miss a change for 2.5 s
    When the hosts that poll lose power again and again, while the configuration changes
    Then each change is in force at all others within 2.5 s

  Scenario Outline: Few hosts poll when an outage begins
    # Guards against an outage in which every host of a large fleet polls at once.
    Given 195 hosts that may miss a change for 3 s
    When the store <state> for 6 s
    Then the store took at most 120 reads

    Examples:
      | state           |
      | refuses all     |
      | answers nothing |

  Scenario: Few hosts poll when an outage begins, on another seed
    # Guards against an outage in which every host of a large fleet polls at once.
    Given 195 hosts that may miss a change for 3 s
    When the store answers nothing for 6 s on seed 7
    Then the store took at most 120 reads

  Scenario: Few hosts poll when the pollers are lost
    # Guards against a loss of the pollers after which every host polls at once.
    Given 195 hosts that may miss a change for 3 s
    When the pollers lose power on each of 1 seeds, and the configuration changes up to 2 s later
    Then at most 30 reads were made in the 5 s after the loss

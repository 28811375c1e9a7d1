Feature: Words that the glossary has retired do not return to the sources

  Scenario Outline: A retired word is found in any of its forms
    # Guards against two terms for the same thing.
    Given a source line "<line>" in "packages/core/code.py"
    When the sources are searched for the retired word "second try" with the term "hedge"
    Then the use is reported as "packages/core/code.py:1: 'second try' is retired, use 'hedge'"

    Examples:
      | line                   |
      | second_try_times(1)    |
      | # a second try         |
      | class SecondTry:       |
      | import secondtry       |

  Scenario Outline: Other words are not reported
    Given a source line "<line>" in "<file>"
    When the sources but "platform" are searched for "goal" with the term "latency objective"
    Then no use is reported

    Examples:
      | line             | file                  |
      | goalkeeper       | packages/core/code.py |
      | spec.get(goal_s) | platform/adapter.py   |
      | the goal         | docs/PAGE.md          |

  Scenario: The sources use no retired word
    Then the sources have no word of the list

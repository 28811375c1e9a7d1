Feature: Settings are validated field by field before a program starts

  Scenario: The commented examples are valid
    Then camphorshelf check accepts every file in examples

  Scenario: Every invalid field is reported with the value seen and the values allowed
    When each invalid settings file is checked
    Then each check exits 2 and names the file, the field and the value

  Scenario: A node reports invalid settings with the same message
    When camphorshelf-node is started with an unknown field in its settings
    Then it exits with status 2 and prints "limits.head_byte: is an unknown field; saw 5"

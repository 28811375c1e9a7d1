Feature: Settings are checked field by field before anything runs

  Scenario: The commented examples are good
    Then camphorshelf check accepts every file in examples

  Scenario: Every bad field is named with what was seen and what is allowed
    When each bad settings file is checked
    Then each check exits 2 and names the file, the field and the value

  Scenario: A node refuses bad settings in the same words
    When camphorshelf-node is started with an unknown field in its settings
    Then it ends with status 2 and says "limits.head_byte: is no field; saw 5"

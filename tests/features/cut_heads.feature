@fixture.large_deployment
Feature: Targets that end in the middle of a response's head

  All processes are real. The target sends a head with status 200 without its last bytes, one to 160 of
  them, and ends the connection.

  Scenario Outline: A response whose head is cut never becomes a success
    # Guards against an empty or short body that is framed as whole because its head was cut.
    When callers at "<node>" send "<line>", whose heads of <framing> end early by <end>
    Then no caller gets a success
    And each has run, at most <runs> times

    Examples:
      | node | line        | end   | framing   | runs |
      | c    | GET /look/  | close | a length  | 2    |
      | c    | GET /look/  | close | chunks    | 2    |
      | c    | GET /look/  | close | no length | 2    |
      | a    | GET /look/  | close | no length | 2    |
      | c    | GET /file/  | close | a length  | 2    |
      | c    | GET /file/  | close | no length | 2    |
      | c    | POST /sell/ | reset | a length  | 1    |
      | c    | POST /sell/ | close | no length | 1    |

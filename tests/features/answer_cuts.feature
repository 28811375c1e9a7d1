Feature: How the target's bytes are cut into reads does not matter

  Random answers of the target, from fixed seeds: to the request, to another one and to none, interim
  ones, with a length, in chunks with trailers, or up to the end of the connection. Their bytes arrive
  whole in one read, byte by byte, and cut at random places.

  Scenario Outline: The first whole answer to the request is the one, however the bytes are cut
    # Guards against an answer that is lost, replaced or mixed with others by the place of a cut.
    Given <count> random rows of whole answers from seed "<seed>"
    When each row arrives for request A on a <connection> connection, cut in many ways
    Then the caller of A gets the first answer of the row that names A, once
    And only a connection that said nothing else is kept

    Examples:
      | count | seed   | connection |
      | 400   | first  | new        |
      | 400   | second | used       |

  Scenario: An answer in chunks that is cut short is not filled up with the one behind it
    # Guards against a success whose body goes on with the head of a second answer.
    Given 200 random answers to A in chunks that are cut short, with a second answer behind
    When each row arrives for request A on a used connection, cut in many ways
    Then the caller of A never gets a success

  Scenario: An answer with a length that is cut short is not filled up with the one behind it
    # Guards against a success whose body goes on with the head of a second answer.
    Given 200 random answers to A with a length that are cut short, with a second answer behind
    When each row arrives for request A on a used connection, cut in many ways
    Then the caller of A never gets a success

  Scenario: The answer to HEAD comes behind an answer to another request
    # Guards against a request that waits for its deadline after a fault in the reader.
    Given a link to a target
    When the head alone of A is asked for
    And the target's bytes "{503 B len 4}busy{200 A len 3}" arrive in one read
    Then the caller of A gets 200 ""

  Scenario: A first line that is cut short takes nothing from the answer behind it
    # Guards against a failure that reaches its caller as a success.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "HTTP/1.1 200 O{500 A len 4}fail" arrive in one read
    Then the caller of A is told that it may have run

  Scenario: A header line that is cut short takes nothing from the answer behind it
    # Guards against a failure that reaches its caller as a success with a spoiled signature.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "HTTP/1.1 200 OK~Response-Stamp: 3e{500 A len 4}fail" arrive in one read
    Then the caller of A is told that it may have run

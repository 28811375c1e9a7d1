Feature: A target's answers are parsed alike however their bytes are split into reads

  Sequences of random answers from fixed seeds: answers to the request, to another request or without a
  request id, and interim answers; with a length, in chunks with trailers, or ended by the end of the
  connection. Their bytes arrive in one read, byte by byte, or split at random places.

  Scenario Outline: The caller gets the first complete answer to its request, however reads are split
    # Guards against an answer that is lost, replaced or mixed with others depending on the split.
    Given <count> random sequences of complete answers from seed "<seed>"
    When each sequence arrives for request A on a <connection> connection, split in many ways
    Then the caller of A gets the first answer of the sequence to A, once
    And only a connection without other bytes is kept open

    Examples:
      | count | seed   | connection |
      | 400   | first  | new        |
      | 400   | second | used       |

  Scenario Outline: A streamed answer is the same as a whole one, however reads are split
    # Guards against parts of a streamed body that are lost, doubled or of another answer.
    Given <count> random sequences of complete answers from seed "<seed>"
    When each sequence is streamed for request A on a <connection> connection, split in many ways
    Then the caller of A gets the first answer of the sequence to A, once
    And only a connection without other bytes is kept open

    Examples:
      | count | seed   | connection |
      | 300   | third  | new        |
      | 300   | fourth | used       |

  Scenario: A truncated chunked answer is not streamed to its end with bytes of the next answer
    # Guards against a streamed success whose body continues with the head of a second answer.
    Given 200 random answers to A in chunks that are truncated, with a second answer behind
    When each sequence is streamed for request A on a used connection, split in many ways
    Then the caller of A never gets a success

  Scenario: A truncated answer with a length is not streamed to its end with bytes of the next answer
    # Guards against a streamed success whose body continues with the head of a second answer.
    Given 200 random answers to A with a length that are truncated, with a second answer behind
    When each sequence is streamed for request A on a used connection, split in many ways
    Then the caller of A never gets a success

  Scenario: Heads inside a body are found alike when the body arrives in parts
    # Guards against a head that is split between two reads and not seen.
    Given 1500 random bodies with pieces of heads from seed "fifth"
    Then the same heads are found in each body and in its parts

  Scenario: A body in parts is scanned without being held
    # Guards against memory that grows with the size of a body.
    Then no more than 200 KB of 20 MB of hostile bodies is held while they are scanned

  Scenario: A truncated chunked answer is not completed with bytes of the next answer
    # Guards against a success whose body continues with the head of a second answer.
    Given 200 random answers to A in chunks that are truncated, with a second answer behind
    When each sequence arrives for request A on a used connection, split in many ways
    Then the caller of A never gets a success

  Scenario: A truncated answer with a length is not completed with bytes of the next answer
    # Guards against a success whose body continues with the head of a second answer.
    Given 200 random answers to A with a length that are truncated, with a second answer behind
    When each sequence arrives for request A on a used connection, split in many ways
    Then the caller of A never gets a success

  Scenario Outline: An answer that lacks any number of bytes is not completed with the next answer
    # Guards against a success whose body ends with the start of a second answer, down to its first byte.
    Given answers to A that lack 1 to 220 bytes, with the whole answer once more behind
    When each arrives with the second one in one read, <way>
    Then the caller of A never gets a success

    Examples:
      | way      |
      | whole    |
      | streamed |

  Scenario: An answer whose body ends like the start of an answer is delivered
    # Guards against answers that are refused because of what their text looks like.
    Given whole answers to A whose bodies end with each part of "HTTP/1.1 200 OK"
    When each sequence arrives for request A on a used connection, split in many ways
    Then the caller of A gets the first answer of the sequence to A, once

  Scenario: The answer to a HEAD request follows an answer to another request
    # Guards against a request that waits until its deadline after an exception in the parser.
    Given a link to a target
    When HEAD request A is sent to the target
    And the target's bytes "{503 B len 4}busy{200 A len 3}" arrive in one read
    Then the caller of A gets 200 ""

  Scenario: A truncated status line is not completed with bytes of the next answer
    # Guards against a failure that reaches its caller as a success.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "HTTP/1.1 200 O{500 A len 4}fail" arrive in one read
    Then the caller of A is told that it may have run

  Scenario: A truncated header line is not completed with bytes of the next answer
    # Guards against a failure that reaches its caller as a success with a corrupt signature.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "HTTP/1.1 200 OK~Response-Stamp: 3e{500 A len 4}fail" arrive in one read
    Then the caller of A is told that it may have run

  Scenario Outline: A body of status lines without a line end is scanned in linear time
    # Guards against a body whose text keeps a node busy for seconds, for all its callers.
    When bodies of 25 kB and 200 kB of "HTTP/1.1 200 12 ms; " are scanned <way>
    Then the larger one takes at most 24 times the processor time of the smaller one

    Examples:
      | way      |
      | whole    |
      | in parts |

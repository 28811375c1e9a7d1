@fixture.large_deployment
Feature: Large responses are streamed from the target to the caller

  Hosts "a" and "b" run counter, "c" runs orders; the link of "b" has 50 Mbit/s.
  /file/ is a route for downloads. All processes are real.

  Scenario Outline: A large response arrives whole and as the target sent it
    # Guards against bytes that are lost, doubled or reordered between target and caller.
    When a caller at "<node>" downloads "GET /file/x?size=<size>&framing=<framing>"
    Then it gets the whole body of <size> bytes, sent by <sent>

    Examples:
      | node | size    | framing | sent   |
      | c    | 540000  | length  | length |
      | c    | 540000  | chunked | chunks |
      | a    | 3000000 | length  | length |
      | b    | 3000000 | chunked | chunks |
      | c    | 90000   | none    | length |
      | c    | 16384   | length  | length |
      | c    | 5       | chunked | length |
      | c    | 0       | length  | length |

  Scenario: Only downloads are streamed
    # Guards against other routes that are no longer served as before.
    When a caller at "c" downloads "GET /look/x?size=540000&framing=chunked"
    Then it gets the whole body of 540000 bytes, sent by length

  Scenario: A slow writer's first bytes arrive before its last ones are written
    # Guards against a body that is held back until it is whole.
    When a caller at "c" downloads "GET /file/x?size=200000&pace_ms=80"
    Then it gets the first 16384 bytes at least 0.4 s before the whole body of 200000 bytes

  Scenario: A slow reader slows down its own target connection only
    # Guards against a node that buffers for a slow reader, and against requests that wait for it.
    When a caller at "c" reads nothing of "GET /file/x?size=30000000" for 1.5 s
    And 20 callers at "c" send "GET /look/x" meanwhile
    Then all of them are answered 200 within 0.5 s
    And the target of the slow reader has been paused
    And the slow reader gets the whole body of 30000000 bytes
    And no node's memory has grown by more than 16 MB

  Scenario: A reader that never reads holds its slot until its deadline
    # Guards against slots that are lost to callers that hang.
    When a caller at "c" with 1500 ms left reads nothing of "GET /file/x?size=30000000"
    Then no slot of counter is in use after 2.0 s
    And what the caller then reads is not whole

  Scenario: Memory does not grow with the size of the body
    # Guards against a body that is collected at the target's node or at the entry node.
    When a caller at "c" downloads "GET /file/x?size=64000000"
    Then it gets the whole body of 64000000 bytes, sent by length
    And no node's memory has grown by more than 16 MB

  Scenario Outline: A body that ends early never looks complete
    # Guards against a truncated response that a caller takes for a whole one.
    When a caller at "<node>" downloads "GET /file/x?size=500000&at=300000&framing=<framing>&end=<end>"
    Then it gets a part of the body that is not whole, and its connection ends

    Examples:
      | node | framing | end     |
      | c    | length  | reset   |
      | a    | length  | reset   |
      | c    | length  | close   |
      | c    | chunked | reset   |
      | c    | chunked | close   |
      | a    | chunked | close   |
      | c    | chunked | garbage |
      | a    | chunked | garbage |

  Scenario: A body without a length that is reset is refused
    # Guards against a truncated body that gets a length on its way.
    When a caller at "c" downloads "GET /file/x?size=500000&at=300000&framing=none&end=reset"
    Then it is refused with 502

  Scenario: A request may be repeated while nothing of a response has been sent
    # Guards against a download that fails although another target could serve it.
    When a caller at "c" downloads "GET /file/x?size=500000&at=1000&end=reset"
    Then it is refused with 502
    And it ran at 2 targets

  Scenario: A request is not repeated once a part of its response has been sent
    # Guards against a body that is composed of two responses.
    When a caller at "c" downloads "GET /file/x?size=500000&at=300000&end=reset"
    Then it gets a part of the body that is not whole, and its connection ends
    And it ran at 1 targets

  Scenario: A request pipelined after a large one gets its own response
    # Guards against responses that are mixed on one connection.
    When a caller at "c" downloads in a row "/file/x?size=900000&pace_ms=5, /look/x?size=20, /file/y?size=50000&framing=chunked, /look/z?size=30"
    Then it gets whole bodies of "900000, 20, 50000, 30" bytes in this order

  Scenario: Nothing follows a large response that ends early
    # Guards against a second response that fills up a truncated one.
    When a caller at "c" downloads in a row "/look/x?size=20, /file/x?size=500000&at=300000&end=reset, /look/z?size=30"
    Then it gets whole bodies of "20" bytes in this order
    And it gets a part of the body that is not whole, and its connection ends

  Scenario Outline: A caller that disconnects in the middle of the body stops the target's work
    # Guards against slots and links that work for nobody.
    When a caller at "<node>" disconnects after the first bytes of "GET /file/x?size=30000000"
    Then no slot of counter is in use after 0.7 s
    And the log of "<node>" has a line "caller_left"

    Examples:
      | node |
      | c    |
      | a    |

  Scenario Outline: Callers that can't be told where a chunked body ends get a length
    # Guards against a truncated body that ends with its connection and looks whole.
    When an HTTP/1.0 caller at "c" downloads "GET /file/x?size=200000&framing=<framing>"
    Then it gets the whole body of 200000 bytes, sent by length

    Examples:
      | framing |
      | chunked |
      | length  |

  Scenario: HEAD has no body
    When a caller at "c" downloads "HEAD /file/x?size=0"
    Then it gets the whole body of 0 bytes, sent by length

  Scenario: The connection is kept after a streamed response
    When a caller at "c" downloads "GET /file/x?size=300000&framing=chunked"
    Then it gets the whole body of 300000 bytes, sent by chunks
    When the same caller downloads "GET /file/y?size=200000"
    Then it gets the whole body of 200000 bytes, sent by length

  Scenario: Random downloads with faults, slow readers, pipelines and callers that leave
    # Guards against combinations in which a truncated or mixed response looks whole, and against
    # windows and slots that are not given back.
    When callers at all nodes download at random for 8 s with seed 1
    Then at least 50 responses were whole, 3 ended early, and none was wrong
    And no node has logged a fault, and all windows and slots are free

  Scenario Outline: A stopping node finishes a streamed response
    # Guards against a body that is cut off by an orderly stop.
    When a caller at "c" reads the first bytes of "GET /file/x?size=600000&pace_ms=30"
    And the node beside <whom> gets SIGTERM
    Then it gets the whole body of 600000 bytes, sent by length
    And the stopped node ends and is started again

    Examples:
      | whom       |
      | its target |
      | the caller |

  Scenario: An order behind a response that is cut has not run
    # Guards against an order that runs although its caller can't get a response on that connection.
    When a caller at "c" reads the first bytes of "GET /file/x?size=800000&pace_ms=100"
    And it sends "POST /sell/y" behind it
    And the node of its target is killed
    Then it gets a part of the body that is not whole, and its connection ends
    And the order has not run
    And the killed node is started again

  Scenario: The loss of the target's node in the middle of the body
    # Guards against a caller that waits for ever, or takes the part for the whole.
    When a caller at "c" reads the first bytes of "GET /file/x?size=800000&pace_ms=100"
    And the node of its target is killed
    Then it gets a part of the body that is not whole, and its connection ends
    And the log of "c" has a line "cut_short"

Feature: How a node parses callers' requests and answers them

  Scenario Outline: A malformed or ambiguous request is refused
    # Guards against request smuggling: a target that determines another body length than the node
    # parses the rest of the body as a request, and a caller gets the answer to another's request.
    Given a caller's connection to a node
    When the caller sends "<head>"
    Then the caller is refused with 400 and code 101
    And the connection ends and nothing was forwarded

    Examples:
      | head                                                                                 |
      | POST / HTTP/1.1~Host: a~Content-Length: 5~Content-Length: 6~~hello                   |
      | POST / HTTP/1.1~Host: a~Content-Length: 5~Content-Length: 5~~hello                   |
      | POST / HTTP/1.1~Host: a~Content-Length: 5, 5~~hello                                  |
      | POST / HTTP/1.1~Host: a~Content-Length: -1~~                                         |
      | POST / HTTP/1.1~Host: a~Content-Length: +5~~hello                                    |
      | POST / HTTP/1.1~Host: a~Content-Length: 0x5~~hello                                   |
      | POST / HTTP/1.1~Host: a~Content-Length: ~~                                           |
      | POST / HTTP/1.1~Host: a~Content-Length: 99999999999999999999999~~                    |
      | POST / HTTP/1.1~Host: a~Content-Length: 5~Transfer-Encoding: chunked~~0~~            |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Content-Length: 5~~0~~            |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip~~                                    |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~0~~                        |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked, chunked~~0~~                     |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: xchunked~~0~~                             |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: identity~~0~~  |
      | POST / HTTP/1.0~Host: a~Transfer-Encoding: chunked~~0~~                              |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~-1~                              |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0x3~abc~                         |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~ffffffffffffffffff~              |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~3~abcd~                          |
      | GET / HTTP/1.1~Host: a~Host: b~~                                                     |
      | GET / HTTP/1.1~~                                                                     |
      | GET / HTTP/1.1~Host: a~X: one~ two~~                                                 |
      | GET / HTTP/1.1~Host: a~X : one~~                                                     |
      | GET / HTTP/1.1~ Host: a~~                                                            |
      | GET /~~                                                                              |
      | GET / HTTP/0.9~Host: a~~                                                             |
      | GET / HTTP/2.0~Host: a~~                                                             |
      | SOURCE / ICE/1.0~Host: a~~                                                           |
      | CONNECT a:80 HTTP/1.1~Host: a~~                                                      |
      | nonsense~~                                                                           |

  Scenario: Bare line feeds are refused
    Given a caller's connection to a node
    When the caller sends a head with bare line feeds
    Then the caller is refused with 400 and code 101

  Scenario: A valid request before a malformed one is still answered
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~Host: b~~"
    And the target answers 200 "first"
    Then the caller got the answers "first" and then a refusal with code 101

  Scenario Outline: A head over the limit is refused
    Given a caller's connection to a node with heads up to 300 bytes
    When the caller sends 400 bytes of <part>
    Then the caller is refused with 431 and code 102

    Examples:
      | part              |
      | one header        |
      | many headers      |
      | one long path     |
      | an endless header |
      | trailers          |

  Scenario Outline: A body over the limit is refused
    Given a caller's connection to a node with bodies up to 10 bytes
    When the caller sends "<request>"
    Then the caller is refused with 413 and code 103

    Examples:
      | request                                                                     |
      | POST / HTTP/1.1~Host: a~Content-Length: 11~~                                |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~6~abcdef~6~abcdef~0~~   |
      | POST / HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 11~~           |

  Scenario Outline: A request that is sent too slowly is refused
    # Guards against callers who send a byte now and then: each would hold a connection for ever,
    # and a few hundred of them all connections of the node. The time for a whole head or body is
    # bounded however slowly it arrives, also after a request that is already answered.
    Given a caller's connection to a node
    When the caller sends "<start>"
    And the caller sends 1 byte each second for 20 seconds
    Then the caller is refused with 408 and code 104

    Examples:
      | start                                             |
      | GET / HTTP/1.1~Host: a~X:                         |
      | POST / HTTP/1.1~Host: a~Content-Length: 100~~     |

  Scenario: A second request that is sent too slowly after an answered one is refused
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~X:"
    And the target answers 200 "first"
    And the caller sends 1 byte each second for 20 seconds
    Then the caller got the answers "first" and then a refusal with code 104

  Scenario: An idle connection is closed without an answer
    Given a caller's connection to a node
    When the connection stays unchanged for 80 seconds
    Then the connection is closed and nothing was sent

  Scenario: The time a target takes to answer does not count against the sender's timeout
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~"
    And the connection stays unchanged for 50 seconds
    And the target answers 200 "late"
    Then the caller got the answers "late"

  Scenario: Pipelined requests are handled one at a time and answered in order
    Given a caller's connection to a node
    When the caller sends 100 requests at once
    Then reading is held back with at most 16 requests waiting
    And the target can answer all 100 in order

  Scenario: 100 Continue is sent only after the answers to earlier requests
    # The caller waits for 100 Continue before it sends its body. If it were sent before the first
    # answer, the caller would relate it to the first request; without it the caller waits for ever.
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~POST /2 HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 2~~"
    Then nothing was sent to the caller yet
    When the target answers 200 "first"
    Then 100 Continue was sent last
    When the caller sends "ok"
    Then the last forwarded request is POST with body "ok"

  Scenario: An expectation that cannot be met is refused
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Expect: a-miracle~Content-Length: 2~~"
    Then the caller is refused with 417 and code 108

  Scenario: A chunked body reaches the target complete, without its trailers
    # Guards against a trailer that is treated as a header and sets a second deadline unchecked.
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~3~abc~2~de~0~Deadline-Ms: 1~~"
    Then the last forwarded request is POST with body "abcde"
    And it has no header deadline-ms

  Scenario: A request to upgrade the protocol is ignored
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~Connection: Upgrade~Upgrade: h2c~~GET /2 HTTP/1.1~Host: a~~"
    And the target answers 200 "first"
    And the target answers 200 "second"
    Then the caller got the answers "first, second"

  Scenario: The body of a request to upgrade the protocol is not parsed as a request
    # Guards against a request that is smuggled inside the body of another.
    Given a caller's connection to a node
    When the caller sends "POST /1 HTTP/1.1~Host: a~Connection: Upgrade~Upgrade: h2c~Content-Length: 33~~GET /inside HTTP/1.1~Host: a~~"
    Then nothing but "/1" with a body of 33 bytes was forwarded

  Scenario Outline: The head of an answer without a body has the right length
    Given a caller's connection to a node
    When the caller sends "<method> / HTTP/1.1~Host: a~~"
    And the target answers <status> with length <length>
    Then the caller got exactly a head with length <sent>

    Examples:
      | method | status | length | sent |
      | HEAD   | 200    | 7      | 7    |
      | HEAD   | 200    | none   | none |
      | GET    | 204    | 7      | none |
      | GET    | 304    | 7      | 7    |

  Scenario: Repeated Set-Cookie headers are not merged
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~"
    And the target answers with two Set-Cookie headers
    Then the caller got both Set-Cookie headers

  Scenario: A node's header on whether the call ran is removed from a target's answer
    # A target that calls others through camphorshelf and returns their refusal would make it look
    # as if its own work had not run, and the caller would send its order again.
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Content-Length: 0~~"
    And the target answers 503 with a node's NOT_RUN header
    Then the caller got the target's answer without a header on whether it ran

  Scenario: Hop-by-hop headers are not forwarded
    Given request headers named by two Connection headers
    Then only the end-to-end headers are forwarded

  Scenario: A caller cannot use Connection to remove the headers that the nodes depend on
    Given request headers whose Connection names Host, Deadline-Ms and Idempotency-Key
    Then these three are forwarded nevertheless

  Scenario: Answers do not accumulate for a slow reader
    # The caller pipelines requests and reads nothing. Each buffered answer costs the node memory, so
    # the next request is forwarded only after the caller has read the previous answer.
    Given a caller's connection to a node
    When the caller takes nothing and sends 5 requests at once
    And the target answers 200 "first"
    Then no second request was forwarded
    When the caller takes everything
    Then a second request was forwarded

  Scenario: The connection of a caller that reads nothing is closed
    Given a caller's connection to a node
    When the caller takes nothing and sends 1 requests at once
    And the target answers 200 "first"
    And the connection stays unchanged for 40 seconds
    Then the connection is closed

  Scenario: An exception in the handling of a call refuses only that call
    # If the exception reached the event loop, the caller would wait until its deadline. It must get
    # a refusal with a result code at once, and the next call must be served.
    Given a caller's connection to a node whose first call raises an exception
    When the caller sends "GET /1 HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~~"
    And the target answers 200 "second"
    Then the caller got a refusal with code 109 and then the answer "second"

  Scenario: An exception in a later callback of a call cancels the call at the target
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And a guarded callback of the call raises an exception
    Then the caller is refused with 500 and code 109
    And the call at the target was cancelled

  Scenario: A call is cancelled when its caller closes the connection
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And the caller hangs up
    Then the call at the target was cancelled
    And a late answer is dropped

  Scenario: The time a request waits in the pipeline counts against its deadline
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~Deadline-Ms: 2000~~"
    And the connection stays unchanged for 3 seconds
    And the target answers 200 "first"
    Then the caller got the answers "first" and then a refusal with code 202

  Scenario: A stopping node completes the running call of a connection
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And the node finishes the connection
    Then the connection is not yet ending
    When the target answers 200 "first"
    Then the answer says that the connection closes, and it ends

  Scenario: A stopping node closes an idle connection
    Given a caller's connection to a node
    When the node finishes the connection
    Then the connection ends and nothing was forwarded

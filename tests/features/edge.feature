Feature: What callers may send, and what becomes of it

  Scenario Outline: A request that can be read in two ways is refused
    # A target that reads another length than the node takes the rest of the body for the next
    # request, which then answers someone else. The node must refuse what could be read twice.
    Given a caller's connection to a node
    When the caller sends "<head>"
    Then the caller is refused with 400 and code 101
    And the connection ends and nothing was passed on

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

  Scenario: A good request before a bad one is still answered
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

  Scenario Outline: A sender that never comes to an end
    # One caller who sends a byte now and then would hold a connection for ever, and a few
    # hundred of them all of the node's connections. The time for a whole head or body is
    # bounded, however it trickles in, also behind a request that is already answered.
    Given a caller's connection to a node
    When the caller sends "<start>"
    And the caller sends 1 byte each second for 20 seconds
    Then the caller is refused with 408 and code 104

    Examples:
      | start                                             |
      | GET / HTTP/1.1~Host: a~X:                         |
      | POST / HTTP/1.1~Host: a~Content-Length: 100~~     |

  Scenario: A second request that never comes to an end behind an answered one
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~X:"
    And the target answers 200 "first"
    And the caller sends 1 byte each second for 20 seconds
    Then the caller got the answers "first" and then a refusal with code 104

  Scenario: An idle connection is closed without a word
    Given a caller's connection to a node
    When the connection stays so for 80 seconds
    Then the connection is closed and nothing was sent

  Scenario: A long answer's time is not the sender's
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~"
    And the connection stays so for 50 seconds
    And the target answers 200 "late"
    Then the caller got the answers "late"

  Scenario: Pipelined requests are taken one at a time and answered in order
    Given a caller's connection to a node
    When the caller sends 100 requests at once
    Then reading is held back with at most 16 requests waiting
    And the target can answer all 100 in order

  Scenario: A body is asked for when its turn comes
    # The caller waits for 100 before it sends its body. Sent while the first answer is still
    # due, 100 would be taken for that answer's; never sent, the caller waits for ever.
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~POST /2 HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 2~~"
    Then nothing was sent to the caller yet
    When the target answers 200 "first"
    Then the last that was sent is 100 Continue
    When the caller sends "ok"
    Then the request passed on last is POST with body "ok"

  Scenario: An expectation that cannot be met
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Expect: a-miracle~Content-Length: 2~~"
    Then the caller is refused with 417 and code 108

  Scenario: A chunked body reaches the target whole, without its trailers
    # A trailer taken for a header would set a second deadline behind the checks.
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~3~abc~2~de~0~Deadline-Ms: 1~~"
    Then the request passed on last is POST with body "abcde"
    And it has no header deadline-ms

  Scenario: A wish to change the protocol is ignored
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~Connection: Upgrade~Upgrade: h2c~~GET /2 HTTP/1.1~Host: a~~"
    And the target answers 200 "first"
    And the target answers 200 "second"
    Then the caller got the answers "first, second"

  Scenario: The body beside a wish to change the protocol is not read as a request
    # Guards against a request that is smuggled inside the body of another.
    Given a caller's connection to a node
    When the caller sends "POST /1 HTTP/1.1~Host: a~Connection: Upgrade~Upgrade: h2c~Content-Length: 33~~GET /inside HTTP/1.1~Host: a~~"
    Then nothing but "/1" with a body of 33 bytes was passed on

  Scenario Outline: Answers without a body
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

  Scenario: Repeated Set-Cookie headers stay apart
    Given a caller's connection to a node
    When the caller sends "GET / HTTP/1.1~Host: a~~"
    And the target answers with two Set-Cookie headers
    Then the caller got both Set-Cookie headers

  Scenario: A target cannot speak as a node
    # A target that calls others through camphorshelf and passes their refusal on would make it
    # look as if its own work had not run; the caller would send its order again.
    Given a caller's connection to a node
    When the caller sends "POST / HTTP/1.1~Host: a~Content-Length: 0~~"
    And the target answers 503 saying NOT_RUN as a node would
    Then the caller got the target's answer without a word on whether it ran

  Scenario: Headers of one connection only are not passed on
    Given request headers named by two Connection headers
    Then only the end-to-end headers are passed on

  Scenario: A caller cannot strip what its call is judged by
    Given request headers whose Connection names Host, Deadline-Ms and Idempotency-Key
    Then these three are passed on all the same

  Scenario: A slow reader does not pile up answers
    # The caller pipelines requests and reads nothing. Each answer kept for it costs the node
    # memory, so the next request waits until the last answer has been taken.
    Given a caller's connection to a node
    When the caller takes nothing and sends 5 requests at once
    And the target answers 200 "first"
    Then no second request was passed on
    When the caller takes everything
    Then a second request was passed on

  Scenario: A reader that takes nothing at all
    Given a caller's connection to a node
    When the caller takes nothing and sends 1 requests at once
    And the target answers 200 "first"
    And the connection stays so for 40 seconds
    Then the connection is closed

  Scenario: A fault inside the node refuses the one call
    # The code of one call raises. Left to the loop, the caller waits until its deadline; it
    # must get its numbered refusal at once and the next call must be served.
    Given a caller's connection to a node whose first call fails inside
    When the caller sends "GET /1 HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~~"
    And the target answers 200 "second"
    Then the caller got a refusal with code 109 and then the answer "second"

  Scenario: A fault in a later callback of a call cancels what was sent for it
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And a guarded callback of the call fails
    Then the caller is refused with 500 and code 109
    And the call at the target was cancelled

  Scenario: A caller that hangs up cancels its call
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And the caller hangs up
    Then the call at the target was cancelled
    And a late answer is dropped

  Scenario: The time in the pipeline counts against the deadline
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~Deadline-Ms: 2000~~"
    And the connection stays so for 3 seconds
    And the target answers 200 "first"
    Then the caller got the answers "first" and then a refusal with code 202

  Scenario: A stopping node lets a connection finish
    Given a caller's connection to a node
    When the caller sends "GET /1 HTTP/1.1~Host: a~~"
    And the node finishes the connection
    Then the connection is not yet ending
    When the target answers 200 "first"
    Then the answer says that the connection closes, and it ends

  Scenario: A stopping node closes an idle connection
    Given a caller's connection to a node
    When the node finishes the connection
    Then the connection ends and nothing was passed on

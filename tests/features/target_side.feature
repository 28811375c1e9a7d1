Feature: Answers of targets over kept connections

  Scenario Outline: An answer that is not whole or not clear is never passed on
    # Half an answer, or one read by a guess at its length, would be taken for the whole by the
    # caller. It is better told that the call may have run.
    Given a client of a target
    When a GET is sent to the target
    And the target says "<bytes>" and <then>
    Then the call failed and may have run

    Examples:
      | bytes                                                                       | then      |
      | HTTP/1.1 200 OK~Content-Length: 10~~half                                    | hangs up  |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~                         | hangs up  |
      | HTTP/1.1 200 OK~Transfer-Encoding: gzip, chunked~~2~zz~0~~                | waits     |
      | HTTP/1.1 200 OK~Transfer-Encoding: gzip~Transfer-Encoding: chunked~~2~zz~0~~ | waits  |
      | HTTP/1.1 200 OK~~an end that may be none                                    | hangs up  |
      | HTTP/1.1 200 OK~Content-Length: 4~Content-Length: 5~~halfx                  | waits     |
      | HTTP/1.1 200 OK~Content-Length: 4~Transfer-Encoding: chunked~~0~~           | waits     |
      | HTTP/1.1 200 OK~Content-Length: -4~~                                        | waits     |
      | HTTP/1.1 101 Switching Protocols~Connection: Upgrade~Upgrade: x~~           | waits     |
      | HTTP/1.1 100 Continue~~                                                     | hangs up  |
      | nonsense~~                                                                  | waits     |

  Scenario: An answer larger than allowed
    Given a client of a target
    When a GET is sent to the target
    And the target says a body of 2000 bytes where 1000 are allowed
    Then the call failed and may have run

  Scenario: An answer whose head never ends
    Given a client of a target
    When a GET is sent to the target
    And the target says 100000 bytes of head without an end
    Then the call failed and may have run

  Scenario: An interim answer is not the answer
    Given a client of a target
    When a GET is sent to the target
    And the target says "HTTP/1.1 103 Early Hints~Link: x~~HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    Then the call was answered 200 "ok" without header link

  Scenario: A kept connection is used again
    Given a client of a target
    When a GET is sent to the target
    And the target says "HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    And a POST is sent to the target
    Then 1 connection was opened in all

  Scenario: A cancelled call's connection is never used again
    # The answer to the cancelled call still comes. On a connection that is kept it would be
    # read as the answer to the next call: a clerk would see another's flock.
    Given a client of a target
    When a GET is sent to the target
    And the call is abandoned
    Then its connection is closed
    When a GET is sent to the target
    Then 2 connections were opened in all
    When the target says "HTTP/1.1 200 OK~Content-Length: 4~~mine" and waits
    Then the call was answered 200 "mine" without header link

  Scenario Outline: A target that says more than one answer
    # What follows the answer is on its way already when the next request goes out; on the same
    # connection it would be read as the answer to that one.
    Given a client of a target
    When a <method> is sent to the target
    And the target says "<bytes>" and waits
    And a GET is sent to the target
    Then 2 connections were opened in all

    Examples:
      | method | bytes                                                                                    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200 OK~Content-Length: 5~~other            |
      | GET    | HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200                                        |
      | HEAD   | HTTP/1.1 200 OK~Content-Length: 2~~ok                                                    |

  Scenario: A call that waits gets no connection with unread bytes
    # Guards against a second answer of one call that is read as the answer to the next.
    Given a client of a target
    When 5 calls are sent over its 4 connections
    And the first is answered, with more bytes behind it that are not read yet
    Then 5 connections were opened in all
    And the first connection is closed

  Scenario: A kept connection that the target has closed meanwhile
    Given a client of a target
    And a kept connection to the target
    When the target has closed the kept connection and a POST is sent
    Then 2 connections were opened in all

  Scenario: A kept connection that is closed as a lookup goes out
    # The close of an idle connection crosses the request. The target is healthy; the caller of
    # an idempotent request must not see an error for it.
    Given a client of a target
    And a kept connection to the target
    When a GET is sent to the target
    And the target hangs up
    Then 2 connections were opened in all
    When the target says "HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    Then the call was answered 200 "ok" without header link

  Scenario: A lookup is sent again only once, and on a new connection
    # A target that restarts closes all kept connections. Tried one after the other they would
    # each fail, so the second try dials.
    Given a client of a target
    And two kept connections to the target
    When a GET is sent to the target
    And the target hangs up
    Then 3 connections were opened in all
    When the target hangs up
    Then the call failed and may have run

  Scenario: A kept connection that is closed as an order goes out
    # The same for an order: the target may have run it before it closed. Sent again it could
    # bill a farmer twice, so the caller is told that the outcome is unknown.
    Given a client of a target
    And a kept connection to the target
    When a POST is sent to the target
    And the target hangs up
    Then the call failed and may have run
    And 1 connection was opened in all

  Scenario: An order keeps off a connection that was idle for long
    Given a client of a target
    And a kept connection to the target
    When the connection is idle for 6 seconds
    And a POST is sent to the target
    Then 2 connections were opened in all

  Scenario: A target that cannot be reached
    Given a client of a target that takes no connections
    When a POST is sent to the target
    Then the call failed and did not run

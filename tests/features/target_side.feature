Feature: Responses of targets over kept connections

  Scenario Outline: An incomplete or ambiguous response is never forwarded
    # Guards against a caller that takes an incomplete response, or one whose length was guessed,
    # for the complete one. The caller is told instead that the call may have run.
    Given a client of a target
    When a GET is sent to the target
    And the target sends "<bytes>" and <then>
    Then the call failed and may have run

    Examples:
      | bytes                                                                       | then      |
      | HTTP/1.1 200 OK~Content-Length: 10~~half                                    | closes    |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~half~                         | closes    |
      | HTTP/1.1 200 OK~Transfer-Encoding: gzip, chunked~~2~zz~0~~                | waits     |
      | HTTP/1.1 200 OK~Transfer-Encoding: gzip~Transfer-Encoding: chunked~~2~zz~0~~ | waits  |
      | HTTP/1.1 200 OK~~an end that may be none                                    | closes    |
      | HTTP/1.1 200 OK~Content-Length: 4~Content-Length: 5~~halfx                  | waits     |
      | HTTP/1.1 200 OK~Content-Length: 4~Transfer-Encoding: chunked~~0~~           | waits     |
      | HTTP/1.1 200 OK~Content-Length: -4~~                                        | waits     |
      | HTTP/1.1 101 Switching Protocols~Connection: Upgrade~Upgrade: x~~           | waits     |
      | HTTP/1.1 100 Continue~~                                                     | closes    |
      | nonsense~~                                                                  | waits     |

  Scenario: A response larger than allowed
    Given a client of a target
    When a GET is sent to the target
    And the target sends a body of 2000 bytes where 1000 are allowed
    Then the call failed and may have run

  Scenario: A response whose head never ends
    Given a client of a target
    When a GET is sent to the target
    And the target sends 100000 bytes of head without an end
    Then the call failed and may have run

  Scenario: An interim response is not the final one
    Given a client of a target
    When a GET is sent to the target
    And the target sends "HTTP/1.1 103 Early Hints~Link: x~~HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    Then the call was answered 200 "ok" without header link

  Scenario: A kept connection is used again
    Given a client of a target
    When a GET is sent to the target
    And the target sends "HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    And a POST is sent to the target
    Then 1 connection was opened in all

  Scenario: A cancelled call's connection is never used again
    # The response to the cancelled call still arrives. On a connection that is kept it would be
    # read as the response to the next call, and a caller would see another caller's data.
    Given a client of a target
    When a GET is sent to the target
    And the call is cancelled
    Then its connection is closed
    When a GET is sent to the target
    Then 2 connections were opened in all
    When the target sends "HTTP/1.1 200 OK~Content-Length: 4~~mine" and waits
    Then the call was answered 200 "mine" without header link

  Scenario Outline: A target that sends more than one response
    # Guards against a second response that is read as the response to the next request. It may
    # already be in transit when that request is sent on the same connection.
    Given a client of a target
    When a <method> is sent to the target
    And the target sends "<bytes>" and waits
    And a GET is sent to the target
    Then 2 connections were opened in all

    Examples:
      | method | bytes                                                                                    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200 OK~Content-Length: 5~~other            |
      | GET    | HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200                                        |
      | HEAD   | HTTP/1.1 200 OK~Content-Length: 2~~ok                                                    |

  Scenario: A waiting call gets no connection with unread bytes
    # Guards against a second response to one call that is read as the response to the next.
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

  Scenario: A kept connection that is closed while a lookup is sent
    # Guards against an error for the caller of an idempotent request although the target is
    # healthy: the close of the idle connection crosses the request.
    Given a client of a target
    And a kept connection to the target
    When a GET is sent to the target
    And the target closes the connection
    Then 2 connections were opened in all
    When the target sends "HTTP/1.1 200 OK~Content-Length: 2~~ok" and waits
    Then the call was answered 200 "ok" without header link

  Scenario: A lookup is retried only once, and on a new connection
    # A target that restarts closes all kept connections. Attempts on one after the other would all
    # fail, so the retry opens a new one.
    Given a client of a target
    And two kept connections to the target
    When a GET is sent to the target
    And the target closes the connection
    Then 3 connections were opened in all
    When the target closes the connection
    Then the call failed and may have run

  Scenario: A kept connection that is closed while an order is sent
    # The target may have run the order before it closed the connection. Sent again, the order could
    # run twice, for example bill somebody twice, so the caller is told that the outcome is unknown.
    Given a client of a target
    And a kept connection to the target
    When a POST is sent to the target
    And the target closes the connection
    Then the call failed and may have run
    And 1 connection was opened in all

  Scenario: An order is not sent on a connection that was idle for long
    Given a client of a target
    And a kept connection to the target
    When the connection is idle for 6 seconds
    And a POST is sent to the target
    Then 2 connections were opened in all

  Scenario: A target that cannot be reached
    Given a client of a target that takes no connections
    When a POST is sent to the target
    Then the call failed and did not run

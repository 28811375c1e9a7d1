Feature: Requests that a caller pipelines on one connection

  A caller sends several lookups without waiting for their answers. If they were started one after
  the other, each would wait for all before it while targets have free slots. Requests that must
  not run twice (POST here) run alone.

  Scenario: Pipelined lookups run concurrently and are answered in order
    # Guards against an answer that its caller takes for that of another request.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    Then the requests "/1, /2, /3" have been started
    When "/2" is answered
    Then nothing was sent to the caller yet
    When "/1" is answered
    Then the caller got the answers "/1, /2"

  Scenario Outline: A request that must not run twice runs alone
    # Guards against an order that its caller repeats because the connection closed before the
    # answer.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "<sent>"
    Then the requests "<first>" have been started
    When "/1" is answered
    Then the requests "<then>" have been started

    Examples:
      | sent                    | first | then       |
      | GET /1, POST /2         | /1    | /1, /2     |
      | POST /1, GET /2, GET /3 | /1    | /1, /2, /3 |
      | POST /1, POST /2        | /1    | /1, /2     |

  Scenario: What follows the last request of a connection is never started
    # Guards against running requests that the caller has already sent elsewhere.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1 close, GET /2, GET /3, POST /4"
    Then the requests "/1" have been started
    When "/1" is answered
    Then the answer says that the connection closes, and it ends
    And the requests "/1" have been started

  Scenario: A caller that pipelines very many requests has eight of them in flight
    # Guards against one connection that takes all slots and fills the memory.
    Given a caller's connection on which lookups may overlap
    When the caller sends 100 requests at once
    Then 8 requests have been started
    And reading is held back with at most 16 requests waiting
    When "/0" is answered
    Then 9 requests have been started
    And the target can answer the other 99 in order

  Scenario: No more requests of a caller that reads slowly are started
    Given a caller's connection on which lookups may overlap
    When the caller takes nothing and sends 20 requests at once
    And "/0" is answered
    Then 8 requests have been started
    When the caller takes everything
    Then 9 requests have been started

  Scenario: All requests of a caller that disconnects are cancelled
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    And "/2" is answered
    And the caller hangs up
    Then the requests "/1, /3" were cancelled

  Scenario: An internal error in one request does not affect the others
    Given a caller's connection on which lookups may overlap and the first one fails internally
    When the caller sends the requests "GET /1, GET /2"
    And "/2" is answered
    Then the caller got a refusal with code 109 and then the answer "/2"

  Scenario: A stopping node answers the pipelined requests and then closes
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2"
    And the node finishes the connection
    And "/1" is answered
    Then the connection is not yet ending
    When "/2" is answered
    Then the last answer says that the connection closes, and it ends

  Scenario Outline: A stopping node answers what it has read of a caller that always pipelines
    # Guards against requests that end without a response because they wait behind another one, and
    # against a connection that is never idle.
    Given <a connection>
    When the caller sends the requests "POST /1, POST /2, POST /3"
    And the node finishes the connection
    And the caller sends the requests "POST /4, POST /5"
    And "/1" is answered
    And "/2" is answered
    Then the connection is not yet ending
    When the caller sends the requests "POST /6"
    And "/3" is answered
    Then the last answer says that the connection closes, and it ends
    And the requests "/1, /2, /3" have been started

    Examples:
      | a connection                                     |
      | a caller's connection on which lookups may overlap |
      | a caller's connection to a node                  |

  Scenario: A stopping node answers a request of which it has read a part, and none behind it
    # Guards against a request that is dropped because the stop came in the middle of it.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "POST /1"
    And the caller sends the first part of "POST /2"
    And the node finishes the connection
    And "/1" is answered
    Then the connection is not yet ending
    When the caller sends the rest and the requests "POST /3, POST /4" in one write
    And the caller sends the requests "POST /5"
    And each request that has been started is answered until none is left
    Then the last answer says that the connection closes, and it ends
    And the requests "/1, /2, /3, /4" have been started

  Scenario: A stopping node answers a caller that sends ahead without end until the connection ends
    # Guards against a connection that never finishes because its caller is always ahead.
    Given a caller's connection on which lookups may overlap
    When the caller sends 100 requests at once
    And the node finishes the connection
    And each request is answered, and the caller sends 40 more after each answer
    Then the last answer says that the connection closes, and it ends
    And at least 100 requests have been started

  Scenario Outline: Requests that are refused at once are all answered
    # Guards against a connection that falls silent because each refusal starts the next request.
    Given <a connection> whose requests are refused at once
    When the caller sends 2000 requests at once
    Then the caller got 2000 answers in order

    Examples:
      | a connection                     |
      | a caller's connection            |
      | a caller's connection to a node  |

  Scenario: A stopping node answers a long pipeline that it has read
    # Guards against requests that are read, not yet parsed, and dropped when the node stops.
    Given a caller's connection on which lookups may overlap
    When the caller sends 100 requests at once
    And the node finishes the connection
    And each request that has been started is answered until none is left
    Then the last answer says that the connection closes, and it ends
    And 100 requests have been started

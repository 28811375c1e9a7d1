Feature: The parts of streaming: links, old nodes, callers' connections

  Scenario: A node without knowledge of streams gets the same request as before
    # Guards against an old target's node that closes the link at a message of an unknown kind.
    Given a link from a new node to an old one
    When a request of a large route is sent
    Then the old node got it as the message that it knows
    And the whole answer of the old node arrives
    And the link is still open

  Scenario: A node without knowledge of streams gets whole answers
    # Guards against an old entry node that closes the link at a message of an unknown kind.
    Given a link from an old node to a new one
    When a request of a large route is sent
    Then the new node got it as the message that the old one knows
    And the whole answer of the new node arrives
    And the link is still open

  Scenario: Two new nodes stream, also a request that was sent before the handshake
    # Guards against a request that is sent before it is known what the peer knows.
    Given a link between new nodes that is not open yet
    When a request of a large route is sent
    And the link opens
    Then the new node got it as a streamed request with a window

  Scenario: A link that is lost in the middle of a body
    # Guards against a caller that waits for the rest for ever.
    Given a link between new nodes
    When a request of a large route is sent
    And its head and 3 chunks have arrived
    And the link is lost in the middle
    Then the entry node is told that the peer was lost

  Scenario: A cancelled stream takes no more of the link
    # Guards against a link that is busy with bytes that nobody wants.
    Given a paced link between new nodes
    When a request of a large route is sent
    And its head and 40 chunks wait to be sent
    And the request is cancelled
    Then nothing more of it is sent
    And later requests are still answered

  Scenario: Credit after the end of its stream is ignored
    # Guards against a fault from credit that crosses the end of the body.
    Given a link between new nodes
    When a request of a large route is sent
    And its response ends while credit is on its way
    Then the link is still open

  Scenario: A small response overtakes a streamed one on a link of 5.5 Mbit/s
    # Guards against chunks that fill the link although fragments wait their turn.
    Given two nodes with a link of 5.5 Mbit/s that stream
    When a body of 540 KB is streamed over the link
    And 20 small responses follow while it is sent
    Then the streamed body arrives whole after 0.7 to 1.6 s
    And at most 60 KB arrive between half of the small responses' sending and arrival

  Scenario: Two streams share a slow link
    # Guards against a stream that waits for the end of another one.
    Given two nodes with a link of 5.5 Mbit/s that stream
    When two bodies of 270 KB are streamed over the link at once
    Then both have half of their bytes before one has all

  Scenario: Credit is returned only when the caller has taken the bytes
    # Guards against a node that collects a body for a slow caller.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1"
    And a response of 30 bytes to "/1" begins
    And "/1" gets the part "0123456789"
    Then 10 bytes have been consumed
    When the caller stops reading
    And "/1" gets the part "0123456789"
    Then 10 bytes have been consumed
    When the caller reads on
    Then 20 bytes have been consumed

  Scenario: Responses in parts keep the order of the requests
    # Guards against a later response that is sent into the middle of an earlier one.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    And a response of unknown length to "/2" begins
    And "/2" gets the part "two"
    And "/3" is answered
    And a response of 6 bytes to "/1" begins
    And "/1" gets the part "one"
    Then 3 bytes have been consumed
    When "/1" gets the part "ONE"
    And the response to "/1" ends
    Then the caller has got the end of "/1" and then "two" of "/2"
    When the response to "/2" ends
    Then the caller got the bodies "oneONE, two, /3"

  Scenario: A response that ends early before its turn lets earlier ones through
    # Guards against an earlier whole response that is cut off with a later one.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    And a response of 6 bytes to "/2" begins
    And "/2" gets the part "two"
    And the response to "/2" is cut
    And "/1" is answered
    Then the caller got the body "/1" and the connection ends without a whole second one
    And the requests "/3" were cancelled

  Scenario: A fault in the middle of a body ends the connection
    # Guards against a refusal that is sent into the middle of a body.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1"
    And a response of 6 bytes to "/1" begins
    And "/1" gets the part "one"
    And the code of "/1" raises an exception
    Then the connection ends after "one"
    And the requests "/1" were cancelled

  Scenario: A caller that disconnects cancels its stream
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2"
    And a response of 6 bytes to "/1" begins
    And "/1" gets the part "one"
    And the caller hangs up
    Then the requests "/1, /2" were cancelled

  Scenario: A slow reader of a stream is not closed by the timers of its connection
    # Guards against a reader that makes progress and is cut off before its deadline.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2"
    And a response of 6 bytes to "/1" begins
    And the caller stops reading
    And "/1" gets the part "one"
    And the caller sends the requests "GET /3"
    And 100.0 s pass on the connection
    Then the caller's connection is open

  Scenario: A stopping node closes a connection after its streamed response
    # Guards against a connection that is kept by a node that stops.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1"
    And a response of 3 bytes to "/1" begins
    And the node finishes the connection
    And "/1" gets the part "one"
    Then the connection is not yet ending
    When the response to "/1" ends
    Then the connection ends after "one"

  Scenario: A target's slot is free once it has written a response of the usual size
    # Guards against a slot that is held while a slow link carries the response.
    Given a response of 540 KB that the target writes with credit for 64 KB
    Then reading from the target is never paused
    And the rest is sent when there is credit

  Scenario: What is read ahead of the credit is bounded and given back
    # Guards against slow readers that fill the memory of the target's node, and against memory that
    # is not given back after a cut or a cancellation.
    Given 40 responses of 5000 KB that the target writes with credit for 64 KB
    Then no more than 13 MB of them are held
    When half of them are cut and half of them are cancelled
    Then all of the memory for reading ahead is free

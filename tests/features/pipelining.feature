Feature: Requests that a caller sends ahead on one connection

  Load pattern: a caller sends several lookups without waiting for answers. Begun one after the
  other, each waits for all before it while targets have free slots. Work that must not run twice
  (POST here) is under way alone.

  Scenario: Lookups sent ahead are under way together, and answered in order
    # Guards against an answer that its caller takes for that of another request.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    Then the requests "/1, /2, /3" have been begun
    When "/2" is answered
    Then nothing was sent to the caller yet
    When "/1" is answered
    Then the caller got the answers "/1, /2"

  Scenario Outline: Work that must not run twice is under way alone
    # Guards against an order that its caller sends again after a close before its answer.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "<sent>"
    Then the requests "<first>" have been begun
    When "/1" is answered
    Then the requests "<then>" have been begun

    Examples:
      | sent                    | first | then       |
      | GET /1, POST /2         | /1    | /1, /2     |
      | POST /1, GET /2, GET /3 | /1    | /1, /2, /3 |
      | POST /1, POST /2        | /1    | /1, /2     |

  Scenario: What stands behind the last request of a connection is never begun
    # Guards against work for a caller that has already sent it elsewhere.
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1 close, GET /2, GET /3, POST /4"
    Then the requests "/1" have been begun
    When "/1" is answered
    Then the answer says that the connection closes, and it ends
    And the requests "/1" have been begun

  Scenario: A caller that sends very many ahead has eight under way
    # Guards against one connection that takes all slots and fills the memory.
    Given a caller's connection on which lookups may overlap
    When the caller sends 100 requests at once
    Then 8 requests have been begun
    And reading is held back with at most 16 requests waiting
    When "/0" is answered
    Then 9 requests have been begun
    And the target can answer the other 99 in order

  Scenario: A caller that reads slowly gets no more begun
    Given a caller's connection on which lookups may overlap
    When the caller takes nothing and sends 20 requests at once
    And "/0" is answered
    Then 8 requests have been begun
    When the caller takes everything
    Then 9 requests have been begun

  Scenario: A caller that hangs up takes all its requests along
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2, GET /3"
    And "/2" is answered
    And the caller hangs up
    Then the requests "/1, /3" were cancelled

  Scenario: A fault in one request harms none beside it
    Given a caller's connection on which lookups may overlap and the first one fails inside
    When the caller sends the requests "GET /1, GET /2"
    And "/2" is answered
    Then the caller got a refusal with code 109 and then the answer "/2"

  Scenario: A stopping node answers what was sent ahead, and closes then
    Given a caller's connection on which lookups may overlap
    When the caller sends the requests "GET /1, GET /2"
    And the node finishes the connection
    And "/1" is answered
    Then the connection is not yet ending
    When "/2" is answered
    Then the last answer says that the connection closes, and it ends

  Scenario Outline: A stopping node begins nothing more of a caller that always sends ahead
    # Guards against a stopping node that cuts off a request it should not have begun.
    Given <a connection>
    When the caller sends the requests "POST /1, GET /2, GET /3"
    And the node finishes the connection
    And "/1" is answered
    Then the answer says that the connection closes, and it ends
    And the requests "/1" have been begun

    Examples:
      | a connection                                     |
      | a caller's connection on which lookups may overlap |
      | a caller's connection to a node                  |

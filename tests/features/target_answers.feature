Feature: Which bytes on a target's connection are the response to a request

  Uses fake streams and a fake clock; the id of the request is A. A stray response is one that
  belongs to no request, or to another one.

  Scenario Outline: A stray response is reported with the request that was on the connection
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<first>" arrive in one read
    And the target's bytes "<second>" arrive in one read
    Then a stray response "<place>" is reported with request "<request>"

    Examples:
      | first                                | second                | place  | request |
      | {200 B len 5}wrong                   | {200 A len 3}own      | ahead  | A       |
      | {200 A len 3}o                       | wn{200 B len 5}wrong  | behind | A       |
      | {200 A len 3}o                       | wn and other bytes    | behind | A       |
      | {200 A len 3}own                     | {200 A len 5}wrong    | idle   | -       |

  Scenario Outline: The framing of a response is reported
    Given a link to a target
    When request Z is sent to the target
    And the target's bytes "{200 Z len 5}first" arrive in one read
    And request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    And the target closes in order
    Then the response to A was framed by "<framing>" after <skipped> others

    Examples:
      | bytes                             | framing | skipped |
      | {200 A len 3}own                  | length  | 0       |
      | {200 A chunked}3~own~0~~          | chunked | 0       |
      | {200 Z len 5}first{200 A len 3}own | length  | 1       |
      | {200 A unframed}own               | close   | 0       |

  Scenario: A second response in the same read does not replace the first
    # Guards against a caller that gets the body of a second response to its request.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "{200 A len 3}own{200 A len 5}wrong" arrive in one read
    Then the caller of A gets 200 "own"
    And the connection of A is not used again

  Scenario Outline: Bytes after a complete response do not reach the caller
    # Guards against a second response in the same read that replaces the first.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    Then the caller of A gets 200 "own"
    And the connection of A is not used again

    Examples:
      | bytes                                                                              |
      | {200 A len 3}own{200 A len 5}wrong                                                 |
      | {200 A len 3}own{500 A len 5}wrong                                                 |
      | {200 A chunked}3~own~0~~{200 A len 5}wrong                                         |
      | {200 A len 3}own{200 A chunked}5~wrong~0~~                                         |
      | {200 A len 3}own{200 A len 5}wr                                                    |
      | {200 A len 3}own{200 A len 5}wrong{200 A len 5}wrong                               |
      | {200 A len 3}own{200 B len 5}wrong                                                 |
      | {200 A len 3}own{200 - len 5}wrong                                                 |
      | {200 A len 3}own and bytes that are no answer                                      |
      | {103 - none}{200 A len 3}own{200 A len 5}wrong                                     |
      | {200 B len 5}wrong{200 A len 3}own{200 A len 5}wrong                               |

  Scenario Outline: The last bytes of a response arrive with a second one
    # Guards against a second response that replaces a first one of which a part was read before.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<first>" arrive in one read
    And the target's bytes "<second>" arrive in one read
    Then the caller of A gets 200 "own"
    And the connection of A is not used again

    Examples:
      | first                     | second                                    |
      | {200 A len 3}o            | wn{200 A len 5}wrong                      |
      | {200 A chunked}1~o~       | 2~wn~0~~{200 A len 5}wrong                |
      | {200 B len 5}wrong        | {200 A len 3}own{200 A len 5}wrong        |

  Scenario Outline: Responses to other requests are skipped
    # Guards against a late second response to an earlier request that is taken for the response to
    # this one.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<first>" arrive in one read
    Then nothing has been received yet for A
    When the target's bytes "<second>" arrive in one read
    Then the caller of A gets 200 "own"
    And the connection of A is not used again

    Examples:
      | first                     | second               |
      | {200 B len 5}wrong        | {200 A len 3}own     |
      | {500 B len 5}wrong        | {200 A len 3}own     |
      | {200 - len 5}wrong        | {200 A len 3}own     |
      | {200 B chunked}5~wrong~   | 0~~{200 A len 3}own  |

  Scenario: A stray response on an idle connection
    # Guards against a late second response that stays on a kept connection until its next use.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "{200 A len 3}own" arrive in one read
    And the target's bytes "{200 A len 5}wrong" arrive in one read
    Then the caller of A gets 200 "own"
    And the connection of A is not used again

  Scenario Outline: An incomplete or ambiguous response is never forwarded
    # Guards against an incomplete response, or a body in another coding, that reaches a caller as a
    # success.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    And the target <end>
    Then the caller of A is told that it may have run

    Examples:
      | bytes                                     | end                  |
      | {200 A len 9}half                         | closes in order      |
      | {200 A chunked}4~half~                    | closes in order      |
      | {200 A unframed}half                      | resets               |
      | {200 A coded}3~zzz~0~~                    | closes in order      |
      | {200 A coded twice}3~zzz~0~~              | closes in order      |
      | {200 A encoded}zzz                        | closes in order      |
      | {200 A unsigned}zzz                       | closes in order      |
      | {200 B unframed}wrong{200 A len 3}own     | closes in order      |

  Scenario Outline: Two responses in one body are never forwarded
    # Guards against a second response that a caller gets as the rest of the first.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    And the target closes in order
    Then the caller of A is told that it may have run

    Examples:
      | bytes                                                                    |
      | {200 A unframed}own{200 A len 5}wrong                                    |
      | {200 A unframed}own{200 B len 5}wrong                                    |
      | {200 A unframed}own{200 A unframed}wrong                                 |
      | {200 A unframed}see HTTP/1.1 200 OK{200 A chunked}5~wrong~               |
      | {200 A len 90}own{200 A len 40}a second answer that fills up the first   |

  Scenario: A head that never ends
    # Guards against a target that fills the node's memory with an endless response head.
    Given a link to a target
    When request A is sent to the target
    And 100000 bytes of a head without an end arrive in one read
    Then the caller of A is told that it may have run

  Scenario Outline: A response without a length ends with its connection
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    And the target closes in order
    Then the caller of A gets 200 "<body>"

    Examples:
      | bytes                                   | body                           |
      | {200 A unframed}own                     | own                            |
      | {200 A unframed}                        |                                |
      | {200 A unframed}see HTTP/1.1 200 OK     | see HTTP/1.1 200 OK            |
      | {200 A unframed}see {200 - len 5}       | see HTTP/1.1 200 X~Content-Length: 5~~ |

  Scenario: A request that is sent again uses another connection
    # Guards against the late second response to the first attempt that is taken for that to the
    # second.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "{503 A len 4 not run}full" arrive in one read
    Then the caller of A gets 503 "full"
    When request A is sent to the target
    Then 2 connections have been opened to the target

  Scenario: A late response to a request is not taken for a response to a probe
    # Guards against a wrong health state, instance and load that are read from a stray response.
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "{200 A len 3}own" arrive in one read
    Then the caller of A gets 200 "own"
    When a probe is sent to the target
    And the target's bytes "{200 A len 5}wrong" arrive in one read
    Then nothing has been received yet for the probe
    When the target's bytes "{200 - len 4}well" arrive in one read
    Then the probe gets 200 "well"

  Scenario Outline: A refusal without a request id is accepted on a new connection only
    # Guards against a request that is reported as not run although it runs, because of a late
    # response to a probe.
    Given a link to a target
    When a probe is sent to the target
    And the target's bytes "{503 - len 4 not run}full" arrive in one read
    Then the probe gets 503 "full"
    When request A is sent to the target
    And the target's bytes "<bytes>" arrive in one read
    Then nothing has been received yet for A
    When the target's bytes "{200 A len 3}own" arrive in one read
    Then the caller of A gets 200 "own"

    Examples:
      | bytes                      |
      | {503 - len 4 not run}full  |
      | {500 - len 4}fail          |

  Scenario: A refusal without a request id on a new connection
    Given a link to a target
    When request A is sent to the target
    And the target's bytes "{400 - len 3}bad" arrive in one read
    Then the caller of A gets 400 "bad"

Feature: Downloads at nodes that are told to stop

  The three hosts of relay_path.feature, started anew for each scenario. Downloads have a deadline of
  4.6 s, and the grace period is 6 s. Slow links have 5.5 Mbit/s, 0.8 s for a download of 540 kB.

  @fixture.slow_deployment
  Scenario Outline: No download that a stopping node takes is cut off by its exit
    # Guards against large responses that a slow link still carries when the node that took them exits.
    When the nodes of "<stopped>" are told to stop, 0.2 s apart
    And callers at "c" send "GET /file/x?size=540000&work_ms=200" each 0.1 s for 2.6 s
    Then each download is whole, refused as not run, or ended by its deadline
    And no node has cut off a request

    Examples:
      | stopped |
      | c       |
      | c, a    |
      | a, c    |

  @fixture.slow_deployment
  Scenario: A stopping node waits until its callers have received what it has written
    # Guards against responses that the kernel drops when their caller sends more after the close.
    Given a caller at "c" that reads slowly
    When it sends "GET /file/x?size=400000"
    And the nodes of "c" are told to stop, 0.0 s apart
    And it reads 12 kB each 0.1 s, and sends another request after 3.2 s
    Then its download of 400000 bytes is whole

  @fixture.slow_deployment
  Scenario: The last response on a connection reaches a caller that reads slowly
    # Guards against responses that the kernel drops because the node has closed after a fixed time.
    Given a caller at "c" that reads slowly
    When it sends "GET /file/x?size=400000" as its last request
    And it reads 12 kB each 0.1 s, and sends another request after 2.2 s
    Then its download of 400000 bytes is whole

  @fixture.fast_deployment
  Scenario: A stopping node waits until other nodes have read its target's responses
    # Guards against responses that an entry node loses because it reads them after the exit.
    Given 6 downloads "GET /file/x?size=250000&work_ms=3000" at "c" are running
    When the nodes of "a, b" are told to stop, 0.0 s apart
    And the node of "c" is suspended from 2.7 s to 3.5 s
    Then each download is whole

Feature: Small messages on links that also carry large ones

  Scenario Outline: Fragments and window follow the rate of a slow link
    # Guards against a fragment that alone holds up a small message for 0.1 s on a slow link, and
    # against other sizes than before on links that are fast or of unknown rate.
    Given a host's link of "<rate>" Mbit/s
    Then its messages are cut into <fragment> bytes and <ahead> bytes are sent ahead

    Examples:
      | rate  | fragment | ahead  |
      | none  | 65536    | 131072 |
      | 1000  | 65536    | 131072 |
      | 100   | 65536    | 131072 |
      | 50    | 31250    | 62500  |
      | 6     | 3750     | 7500   |
      | 5.5   | 3437     | 6874   |
      | 0.5   | 1024     | 2048   |

  Scenario: A small message waits at most 10 ms for the large ones that are ahead of it
    # Guards against sizes that exceed the wait for some rate.
    Then on links from 1.7 to 99.9 Mbit/s the data sent ahead takes at most 10 ms

  Scenario: A small response overtakes a large one on a link of 5.5 Mbit/s
    # Guards against a small response that waits in the kernel's buffer behind a whole body.
    Given two nodes with a link of 5.5 Mbit/s
    When a response of 540 KB is sent over the link
    And 20 small responses follow while it is sent
    Then the large response arrives whole after 0.7 to 1.5 s
    And at most 60 KB arrive between half of the small responses' sending and arrival

  Scenario: A fragmented answer is not cut off by the end of its node
    # Guards against a stopping node that exits while fragments of an answer wait to be sent.
    Given a slow link between two nodes whose fragments are paced
    When a large answer is sent over the link
    Then the serving side is busy until all of it is sent

  Scenario: The data in flight of a response is bounded by the credit of its reader
    # Guards against a sender that fills its peer's memory, and against credit that is lost and
    # stalls a response.
    Then a sender never has more bytes in flight than the window, and all bytes arrive, in 200 runs

  Scenario: A sender that exceeds its credit is detected
    # Guards against a faulty peer that fills the node's memory.
    Given a window of 1000 bytes
    Then 1001 bytes are not accepted

  Scenario: All windows of a node together are bounded
    # Guards against many slow readers that use up the memory of a small host.
    Given windows of at most 262144 bytes in a node's memory of 8388608 bytes
    When 2000 responses are streamed at once
    Then their windows take at most 8388608 bytes and 4096 for each
    When all of them have ended
    Then a response gets a window of 262144 bytes again

Feature: Large messages leave room for small ones on the host's link

  Load pattern: downloads on a slow link. Responses of 90 kB to several hosts are due at once on a
  host whose link carries 6 Mbit/s, and statuses and small responses must pass in between.

  Scenario: A small message does not wait behind large ones
    # Guards against a queue on the link in which probes and calls wait until they time out.
    Given a host whose link carries 6 Mbit/s
    When responses of 90000 bytes on 5 connections are due at once
    Then a small message waits for at most 30 ms at any moment until they are sent
    And the large messages use at least 0.8 of the link

  Scenario: The shortest large message is finished first
    # Guards against a short response that waits for the end of one that is six times as long.
    Given a host whose link carries 6 Mbit/s
    When a response of 540000 bytes is being sent and one of 90000 bytes becomes due
    Then the response of 90000 bytes is sent within 200 ms

  Scenario: A connection that takes no data does not hold up the others
    # Guards against one slow reader that stops all large responses of its host.
    Given a host whose link carries 6 Mbit/s
    When a response is due on a connection that takes no data
    And responses of 90000 bytes on 2 connections are due at once
    Then both are sent

  Scenario: Small messages that are sent without waiting delay the large ones
    # Guards against a link that carries more than its rate and drops datagrams.
    Given a host whose link carries 6 Mbit/s
    When 60000 bytes of small messages have just been sent
    And responses of 90000 bytes on 1 connections are due at once
    Then no large message is sent for 50 ms

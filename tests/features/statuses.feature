Feature: Status messages between hosts

  Scenario: A short status carries what changes often, in a quarter of the bytes
    Given the full status of a host was received
    When it sends a short status with 5 running and slowness 4.0
    Then its status has 5 running, slowness 4.0 and the same names as before
    And the short status has at most 45 bytes and a quarter of those of the full one

  Scenario: A short status of an unknown process is not used
    # The previous process had the same names; the status of the new process must not be combined
    # with them.
    Given the full status of a host was received
    When its next process sends a short status first
    Then no status is taken from it

  Scenario: A status that arrives after a later one is ignored
    Given the full status of a host was received
    When a later one and then an earlier one arrive
    Then the later one is stored

  Scenario: A late status of the previous process does not replace the new one
    Given the full status of a host was received
    When the status of its next process is received, and then a late one of the previous process
    Then the status of the next process is stored

  Scenario: Incarnations of one address increase and are unique
    # Guards against a restarted host that is taken to be older than its previous process.
    Then an incarnation is greater than one that was made a microsecond earlier
    And one made newer than another is greater, and two made newer than the same one differ

  Scenario Outline: Datagrams that are not a status are ignored
    When a datagram of <bytes> arrives
    Then no status is taken from it

    Examples:
      | bytes              |
      | no bytes           |
      | random bytes       |
      | a number           |
      | a list too short   |
      | a list of texts    |
      | a bad address      |
      | bad crash counts   |

  Scenario Outline: A host that pushes its status is not silent between two pushes
    # Guards against a healthy host that is ranked last between two of its pushes.
    Given a status is pushed to <hosts> others
    Then a host is not silent until the second push after its last one

    Examples:
      | hosts |
      | 11    |
      | 31    |
      | 78    |
      | 300   |

  Scenario: A short status that refers to unknown names is not used
    # Guards against requests to a new target with the instance of the previous one.
    Given the full status of a host was received
    When a short status refers to another revision of its names
    Then the full status has to be requested

  Scenario Outline: Each message is decoded as it was encoded
    Then the message "<kind>" is decoded as it was encoded

    Examples:
      | kind              |
      | status request    |
      | greeting          |
      | member updates    |
      | probe request     |
      | addresses request |
      | addresses         |

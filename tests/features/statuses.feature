Feature: What hosts tell each other of themselves

  Scenario: The short form says what changes often, in a quarter of the bytes
    Given the whole status of a host was heard
    When it sends the short form of a status with 5 running and slowness 4.0
    Then 5 running and slowness 4.0 are held of it, and its names as before
    And the short form is at most 45 bytes and a quarter of the whole one

  Scenario: A short form of a process that nobody has heard is not used
    # The process before had the same names; what is said of the new one must not be put to them.
    Given the whole status of a host was heard
    When its next process sends the short form first
    Then nothing of it is held

  Scenario: A status that was overtaken changes nothing
    Given the whole status of a host was heard
    When a later one and then an earlier one arrive
    Then the later one is held

  Scenario: A late status of the process before does not bring it back
    Given the whole status of a host was heard
    When its next process is heard and then a late status of the one before
    Then the next process is held

  Scenario: Incarnations of one address grow, and no two of them are the same
    # Guards against a restarted host that is taken for older than the process before it.
    Then an incarnation is greater than one that was drawn a microsecond earlier
    And one that outbids another is greater, and two that outbid the same one differ

  Scenario Outline: Bytes that are no status harm nobody
    When a datagram of <bytes> arrives
    Then nothing of it is held

    Examples:
      | bytes              |
      | no bytes           |
      | random bytes       |
      | a number           |
      | a list too short   |
      | a list of texts    |
      | a bad address      |
      | bad crash counts   |

  Scenario Outline: A host that repeats its status is heard between two repeats
    # Guards against a host that is well being chosen last between two of its repeats.
    Given <hosts> others are told
    Then a host that repeats its status is not silent until the next one but one

    Examples:
      | hosts |
      | 11    |
      | 31    |
      | 78    |
      | 300   |

  Scenario: A short form of other names than those known is not used
    # Guards against a new target being sent work under the instance of the one before.
    Given the whole status of a host was heard
    When another revision of its names is told in the short form
    Then the whole form has to be asked for

  Scenario Outline: Each message is read as it was written
    Then a <kind> is read as it was written

    Examples:
      | kind              |
      | probe             |
      | greeting          |
      | news              |
      | probe request     |
      | addresses request |
      | addresses         |

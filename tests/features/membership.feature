Feature: Membership by gossip with a bounded number of bytes

  Scenario: A change reaches every member although datagrams are lost
    Given a mesh of 40 members with seed 11 that loses 10 of 100 datagrams
    When member m3 publishes version 5 of config head
    Then every member has received version 5 of config head within 7 seconds

  Scenario: An older version never replaces a newer one
    # Two versions of one key spread at the same time, and some members receive the older one last.
    # If it won, callers would be served by a configuration that was already replaced.
    Given a mesh of 12 members with seed 12 that loses 0 of 100 datagrams
    When member m3 publishes version 5 of config head
    And member m4 publishes version 4 of config head
    Then every member holds version 5 of config head after 5 seconds

  Scenario: A failed host is suspected first and then declared dead by all
    # The host stops answering. The entry nodes eject it at once and send calls elsewhere; the
    # roster declares it dead only after it had time to refute the suspicion.
    Given a mesh of 30 members with seed 13 that loses 1 of 100 datagrams
    When member m7 freezes
    Then some member suspects m7 within 20 seconds, and none considered it dead before
    And every member considers m7 dead within 60 seconds

  Scenario: A slow host refutes its suspicion
    # The host is suspended for less than the suspicion timeout, resumes and learns that it is
    # suspected. If it were declared dead, a healthy target would get no requests.
    Given a mesh of 30 members with seed 14 that loses 0 of 100 datagrams
    When member m7 freezes until some member suspects it
    And member m7 resumes
    Then every member considers m7 alive within 30 seconds

  Scenario: A member that is cut off does not declare the others dead
    # Nothing reaches m5 for five minutes, because m5 itself is cut off. If it declared the others
    # dead, its callers would find no target, and its wrong records would spread once it is back.
    Given a mesh of 30 members with seed 15 that loses 1 of 100 datagrams
    When member m5 is cut off from all others for 300 seconds
    Then m5 considers no more than 4 members dead
    When the cut ends
    Then all members consider each other alive within 120 seconds

  Scenario: Two partitions are separated for an hour and merge again
    # The smaller partition keeps serving its callers with the targets it can reach. Once the
    # network is restored, the members must merge without a restart, and no outdated record may
    # restore an old state.
    Given a mesh of 30 members with seed 16 that loses 1 of 100 datagrams
    When the 8 members from m0 on are cut off from the rest for 3600 seconds
    Then the members of the larger partition consider the 8 members dead
    When the cut ends
    Then all members consider each other alive within 300 seconds

  Scenario: All hosts of a failure domain fail at once
    Given a mesh of 30 members with seed 17 that loses 1 of 100 datagrams
    When every third member freezes
    Then the live members consider all frozen ones dead within 300 seconds, and no live one

  Scenario: A host is replaced at the same address
    # The old process is frozen, a new one starts at its address, and the old one's record still
    # spreads. It must not replace the state of the new process.
    Given a mesh of 20 members with seed 18 that loses 1 of 100 datagrams
    When member m4 freezes
    And member m4 is replaced
    Then every member holds the new incarnation of m4 within 30 seconds
    And a record of the old incarnation changes nothing

  Scenario: A frozen process resumes after its host was replaced
    # The old process still considers itself m4. If it refuted the new record, calls would go to
    # both processes by turns.
    Given a mesh of 20 members with seed 19 that loses 0 of 100 datagrams
    When 60 seconds pass
    And the old process of m4 receives the record of its successor
    Then the old process knows that it was superseded

  Scenario: A host restarts with a clock that went back
    # Generations are taken from the clock. A process that starts with a lower generation than its
    # predecessor would be ignored by all; it learns of the greater one and chooses one above it.
    Given a mesh of 20 members with seed 20 that loses 0 of 100 datagrams
    When member m4 restarts with a clock that went back
    Then every member holds the new incarnation of m4 within 30 seconds

  Scenario: Members announce that they leave
    Given a mesh of 20 members with seed 21 that loses 0 of 100 datagrams
    When member m4 leaves
    Then every member knows that m4 left within 10 seconds

  Scenario: The byte budget holds while half of all hosts restart
    # Every restart is a change that every member must receive. Without the budget the bytes would
    # grow with the restarts; with it changes wait, and a part of the budget is reserved for pings
    # so that no member is declared dead.
    Given a mesh of 40 members with seed 22 that loses 1 of 100 datagrams
    When 20 members are replaced within 2 seconds
    Then no member has sent more than its budget over 30 seconds
    And all members consider each other alive within 60 seconds

  Scenario: A flood of changes does not exceed a small budget
    # 200 entries are published at once and need many times the bytes of the budget. They must wait
    # rather than use the bandwidth of callers' requests.
    Given a mesh of 20 members with seed 23 and a budget of 1000 bytes a second
    When every member publishes 10 entries at once
    Then no member has sent more than its budget over 20 seconds
    And every member holds all 200 entries within 600 seconds

  Scenario: A flood of pings does not make a member answer beyond its budget
    # Hundreds of members that probe the same one, or one member that misbehaves, ping it at once.
    # Each answer is small, but all of them together are not.
    Given a mesh of 20 members with seed 25 and a budget of 1000 bytes a second
    When member m3 is pinged 3000 times at once
    Then no member has sent more than its budget over 0 seconds

  Scenario: A suspected host learns of the suspicion from the next ping or answer
    # The suspicion timeout runs from the first report. A live host that learns of it too late is
    # declared dead, so both the ping to it and the answer to its own ping carry the report.
    Given a mesh of 20 members with seed 24 that loses 0 of 100 datagrams
    When m1 suspects m2 and pings it, and m2 pings m3 who suspects it too
    Then m2 has refuted each report

  Scenario: After random faults all members have the same view
    Given random restarts, freezes, cuts and losses over 20 fixed seeds
    Then in each run the members agree on who is alive once the faults end

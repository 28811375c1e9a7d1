Feature: The platform's formats are parsed and validated

  Scenario: The error names the setting that is missing or invalid
    Given valid settings of the platform
    Then they are parsed
    And without "self.zone" the error names "self.zone"
    And with "terms.bounds.retry_ratio=much" the error names "terms.bounds.retry_ratio"
    And with "self.limits.link_mbps=fast" the error names "self.limits.link_mbps"
    And with "network.listen.inbound=nowhere" the error names "network.listen.inbound"
    And with "a.new.field=1" they are parsed

  Scenario Outline: The rate of the host's link is optional
    # Guards against a node that does not start in a deployment without the setting.
    Given valid settings of the platform
    Then with "<line>" the rate of its link is <rate>

    Examples:
      | line                     | rate |
      |                          | None |
      | self.limits.link_mbps=   | None |
      | self.limits.link_mbps=0  | None |
      | self.limits.link_mbps=6  | 6.0  |
      | self.limits.link_mbps=5.5 | 5.5 |

  Scenario Outline: The time in which a change has to be in force
    # Guards against nodes that read changes later than the deployment's settings allow.
    Given valid settings of the platform
    Then with "<lines>" a change may be unknown for <seconds> s

    Examples:
      | lines                                                                      | seconds |
      |                                                                            | 2       |
      | terms.bounds.config_apply_s=3                                              | 3       |
      | terms.bounds.config_apply_s=3 terms.bounds.evac_s=5                        | 3       |
      | terms.bounds.config_apply_s=3 terms.bounds.evac_s=1.5                      | 1.5     |
      | terms.bounds.strict_revoke=true terms.bounds.revoke_s=1                    | 1       |
      | terms.bounds.strict_revoke=false terms.bounds.revoke_s=1                   | 2       |

  Scenario: A time of 0 for a change is an error
    Given valid settings of the platform
    Then with "terms.bounds.config_apply_s=0" the error names "terms.bounds.config_apply_s"

  Scenario Outline: Only downloads are large
    # Guards against streaming where it is not wanted.
    When the operators' document has a route of kind "<kind>"
    Then its responses are <size>

    Examples:
      | kind           | size      |
      | download       | large     |
      | idempotent     | not large |
      | non_idempotent | not large |

  Scenario Outline: An invalid document is rejected
    When the operators' document has <fault>
    Then it is rejected

    Examples:
      | fault                    |
      | half of its bytes        |
      | a route without a host   |
      | a prefix without a slash |
      | an unknown service       |
      | a timeout of 0           |
      | a text as version        |
      | an empty split           |
      | a cold rate below 0      |
      | a text as cold rate      |

  Scenario: The rate of a cold target is read from the document and the settings
    Given valid settings of the platform
    Then with "terms.bounds.cold_over=1.5" a cold target gets 1.5 times its rate
    When the operators' document allows cold targets 7.0 requests a second for 3.0 s
    Then the service has that rate and time

  Scenario Outline: The warm-up time that a target reports
    When a target's header cold-ms is "<value>"
    Then it is cold for <seconds> s

    Examples:
      | value | seconds |
      | 2500  | 2.5     |
      | 0     | 0.0     |
      | -1    | None    |
      | warm  | None    |
      | nan   | None    |

  Scenario Outline: The rate limit that a target advertises
    When a target's headers server-limit are "<values>"
    Then its rate limit is <per_s> a second and the header is <validity>

    Examples:
      | values | per_s | validity |
      | 6      | 6.0   | valid    |
      | 3.8    | 3.8   | valid    |
      | 0      | 0.0   | valid    |
      | -1     | None  | invalid  |
      | nan    | None  | invalid  |
      | inf    | None  | invalid  |
      | 1e999  | None  | invalid  |
      | 1_0    | None  | invalid  |
      | many   | None  | invalid  |
      |        | None  | invalid  |
      | 6; 7   | None  | invalid  |
      | none   | None  | invalid  |

  Scenario: A target that advertises no rate limit
    When a target's headers are empty
    Then its rate limit is None a second and the header is valid

  Scenario Outline: Whether a target says that it is about to end
    When a target's header server-leaving is "<value>"
    Then it <state>

    Examples:
      | value | state           |
      | 1     | leaves          |
      | 0     | stays           |
      | yes   | stays           |

  Scenario: Evacuations are read from the keys of the rows beside the document
    When the operators' rows are "config, evacuate/a, evacuate/, evacuation, evacuate/b/c"
    Then the failure domains "a, b/c" are evacuated

  Scenario: Parts with weight 0 are dropped
    When the operators' document splits a route 90, 0 and 10
    Then the route has 2 parts

  Scenario Outline: A refusal's status says "not run" only when that is certain
    Then a refusal <code> with <ran> is answered <status>

    Examples:
      | code              | ran             | status |
      | TARGET_BUSY       | NOT_RUN         | 503    |
      | QUARANTINED       | NOT_RUN         | 503    |
      | UNKNOWN_ROUTE     | NOT_RUN         | 404    |
      | TARGET_LOST       | OUTCOME_UNKNOWN | 502    |
      | DEADLINE_EXCEEDED | OUTCOME_UNKNOWN | 504    |
      | PEER_LOST         | OUTCOME_UNKNOWN | 502    |
      | INTERNAL          | OUTCOME_UNKNOWN | 502    |
      | QUEUE_FULL        | OUTCOME_UNKNOWN | 502    |

  Scenario: A Retry-After keeps its fractions
    Then a refusal with 130 ms of Retry-After says "0.130"

  Scenario Outline: The load that a target reports
    When a target's load header is "<value>"
    Then its slowness is <slowness> and it runs <running>

    Examples:
      | value      | slowness | running |
      | 3,0,8,400  | 4.0      | 3       |
      | 3,0,8      | None     | 3       |
      | 3,0        | None     | None    |
      | x,y,z      | None     | None    |
      | -1,0,8,100 | None     | None    |
      | 3,0,8,0    | None     | 3       |

  Scenario: The standard library's module "platform" is not shadowed
    Then "platform" is the standard library's module

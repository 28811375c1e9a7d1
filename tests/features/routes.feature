Feature: Which route a request takes, and which part of it

  Scenario Outline: The longest prefix of the path decides
    Given routes "/", "/a/", "/a/b/" and "/ab/" of host "h.example"
    Then a request for "<host>" and "<path>" takes "<route>"

    Examples:
      | host      | path    | route |
      | h.example | /       | /     |
      | h.example | /x      | /     |
      | h.example | /a/     | /a/   |
      | h.example | /a      | /     |
      | h.example | /a/b/c  | /a/b/ |
      | h.example | /a/b    | /a/   |
      | h.example | /ab/c   | /ab/  |
      | other     | /a/b/c  | none  |

  Scenario Outline: Parts get their weights, exactly, at every node
    # A part of one in ten that got two in ten for a minute would be a release going wrong.
    Given a route whose parts weigh <weights>
    When 50 nodes each choose a part for 20 requests
    Then each part has its share of all within 2 in 100
    And no node gives a part more than 1 request beyond its share

    Examples:
      | weights    |
      | 90, 10     |
      | 50, 50     |
      | 70, 20, 10 |
      | 1, 99      |

  Scenario: Changed weights are in force with the next request
    Given a route whose parts weigh 90, 10
    When 1 nodes each choose a part for 20 requests
    And the weights become 10, 90
    And 1 nodes each choose a part for 100 requests
    Then each part has its share of all within 2 in 100

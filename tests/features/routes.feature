Feature: The route of a request, and the service that is chosen by weight

  Scenario Outline: The longest matching prefix of the path decides
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

  Scenario Outline: Services get their exact shares at every node
    # Guards against a release that gets two requests in ten for a minute where its weight is one in
    # ten.
    Given a route whose services have weights <weights>
    When 50 nodes each choose a service for 20 requests
    Then each service gets its share of all requests within 2 in 100
    And no node gives a service more than 1 request beyond its share

    Examples:
      | weights    |
      | 90, 10     |
      | 50, 50     |
      | 70, 20, 10 |
      | 1, 99      |

  Scenario: Changed weights take effect with the next request
    Given a route whose services have weights 90, 10
    When 1 nodes each choose a service for 20 requests
    And the weights become 10, 90
    And 1 nodes each choose a service for 100 requests
    Then each service gets its share of all requests within 2 in 100

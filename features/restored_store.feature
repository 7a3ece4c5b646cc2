Feature: What routers know stays right while the store comes back from an older copy of itself

  Scenario Outline: A configuration written after the store came back from a copy is in force
    Given three gateways before two replicas of each service
    When the store comes back from a copy "<how>"
    And then a key is taken away and a route is added
    Then all gateways refuse the key and serve the route
    And the store was asked for few lists

    Examples:
      | how                               |
      | and says that the history is gone |

  Scenario: A configuration is in force whose revision was there before the store came back
    Given three gateways before two replicas of each service
    When the store comes back from a copy, and more is written than was lost before it answers
    Then all gateways refuse the key and serve the route
    And the store was asked for few lists

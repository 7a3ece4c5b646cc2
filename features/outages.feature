Feature: Token reserves are sized by the observed outages of the store

  Scenario: The length of an outage includes the time before it was detected
    Given a router that has seen no outage of the store
    When the store answers no router for 5 seconds and then recovers
    Then the reserve covers an outage of 8 seconds, in full after 10 seconds of calm

  Scenario: A lost response is not an outage
    Given a router that has seen no outage of the store
    When the store answers no router for 1 seconds and then recovers
    Then the reserve covers no outage

  Scenario: Readiness is based on the shortest time between two outages
    Given a router that has seen no outage of the store
    When the store answers no router for 5 seconds and then recovers
    And 4 seconds later it answers no router for 5 seconds and then recovers
    And 2 seconds have passed
    Then the reserve is at half its full size

  Scenario Outline: Reserves after an outage are bounded, and grow back until the next one is expected
    Given an account of 1000000 tokens of which <unallocated> are unallocated, and 20000 are used per second
    When an outage of 8 seconds ended <passed> seconds ago
    Then the reserve is between <min> and <max> tokens

    Examples:
      | unallocated | passed | min    | max    |
      | 900000      | 10     | 200000 | 300000 |
      | 300000      | 10     | 170000 | 180000 |
      | 300000      | 2      | 30000  | 40000  |
      | 20000       | 10     | 10000  | 12000  |

  Scenario: Reserves never exceed a fixed share of the unallocated tokens
    When reserves are sized for any demand, allocation and outage
    Then none is negative or exceeds that share

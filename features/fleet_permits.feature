Feature: All routers together keep rate limits, each with a share of the permits

  Scenario Outline: The shares of all routers add up to at most the permits
    Given <routers> routers that share permits
    Then the shares add up to at most the permits, whatever stopped routers each router counts
    And the shares add up to exactly the permits if all routers are aware of each other

    Examples:
      | routers |
      | 1       |
      | 2       |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario: A bound that is derived from a rate allows exactly that rate
    Given any rate from 0.05 to 500 requests per second
    Then the window holds the permits of that rate, and at least two
    And any 4 s allow at most 1.5 times the rate, plus 5 requests

  # Requests are delayed after they acquired a permit, permits are granted to other routers, messages
  # get lost, and routers restart, are partitioned or suspended. Connected routers have to stay
  # within the permits, and not only within what the platform allows in addition to them.
  Scenario Outline: No window holds more requests than permits, whatever faults occur
    Given <routers> routers that share permits
    When they send and grant permits while messages get lost, and routers restart, are partitioned and suspended
    Then no replica receives more requests from connected routers in a window than it has permits
    And no replica receives more than twice as many from all routers

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario: A router that has just started grants no permits
    Given 4 routers that share permits
    When the router that ranks first for a replica restarts
    Then it has no permit until all routers are aware of it and a window has passed

  # What its earlier process sent is held up by the suspension as well.
  Scenario: A suspension does not shorten the wait of a router that has just started
    Given 4 routers that share permits
    When the router that ranks first restarts, and its machine is suspended for 12 s
    Then it has no permit until all routers are aware of it and a window has passed

  Scenario: A grant that is not settled counts as used when it expires
    Given 4 routers that share permits
    When the first router has granted all its permits for a replica, and none of them is settled
    Then it has a permit again a window after they expire, and not earlier

  Scenario: An unused permit is available again at once
    Given 4 routers that share permits
    When the first router has granted all its permits for a replica, and one of them is returned
    Then exactly one permit is available at once

  Scenario: A permit that is acquired in advance is not ready before a window has passed
    Given 4 routers that share permits
    When the first router has used all its permits for a replica, and acquires more in advance
    Then each of these is ready a window after the next oldest use

  Scenario: A bound with a longer window counts uses from the previous bound
    Given 4 routers that share permits
    When the first router has used all its permits of a wide bound, and the bound becomes narrow
    Then it has no permit until the uses are older than the narrow bound's window

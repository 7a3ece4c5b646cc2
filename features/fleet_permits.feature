Feature: So many requests in any window, from all routers together, of which each knows a part

  Scenario Outline: The parts of all routers come to no more than the permits
    Given <routers> routers that share permits
    Then whatever each knows beyond those that run, their parts come to no more than the permits
    And where they know each other their parts come to exactly the permits

    Examples:
      | routers |
      | 1       |
      | 2       |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario: A bound on a rate allows just that rate, in windows that suit it
    Given any rate from 0.05 to 500 requests a second
    Then its window holds so many permits as make up the rate, two or more
    And no 4 s hold more than one and a half times the rate allows, and 5

  # Held up before they are sent, granted by one router to another, with messages that get lost, in
  # starts, cuts and suspensions: what routers in contact send stays within the permits, not only
  # within what the platform allows beyond them.
  Scenario Outline: Whatever routers know, send, grant and suffer, no window holds more than its permits
    Given <routers> routers that share permits
    When callers press, permits are granted and lost, and routers end, are cut off and suspended
    Then in no window does a replica get more than its permits from routers in contact
    And in no window does it get more than twice of them from all

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario: A router that has just started grants nothing
    Given 4 routers that share permits
    When the one that ranks first for a replica starts again
    Then it has no permit of it until all have heard of it and a window has passed

  Scenario: What an asker does not tell of counts as used when its permit lapses
    Given 4 routers that share permits
    When the first one has granted all its permits of a replica, and nobody tells what became of them
    Then it has one again a window after they have lapsed, and not before

  Scenario: A permit that was not used is free at once
    Given 4 routers that share permits
    When the first one has granted all its permits of a replica, and one is given back
    Then it has one again at once, and one alone

  Scenario: A permit that is ready later is not ready before a window has passed
    Given 4 routers that share permits
    When the first one has used all its permits of a replica, and takes one for later
    Then that one is ready a window after the oldest use, and the next one after the next use

  Scenario: A bound that becomes narrower counts what was used under the wider one
    Given 4 routers that share permits
    When the first one has used all its permits of a wide bound, and the bound becomes narrow
    Then it has none until those of the narrow window have passed

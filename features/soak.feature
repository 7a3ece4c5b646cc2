Feature: Gateways keep their invariants under randomly injected faults

  Scenario: The fault schedule of a run is determined by its seed
    Then two schedules of one seed are equal, and those of 20 seeds contain every kind of fault

  Scenario Outline: A short run of real gateways violates no invariant
    When the schedule of seed <seed> is run for 20 seconds on <routers> gateways
    Then no invariant is violated, and all gateways serve at the end

    Examples:
      | seed | routers |
      | 1    | 4       |
      | 2    | 4       |
      | 3    | 4       |

  Scenario: A short run in which a prompt segment crashes replicas violates no invariant
    When the schedule of seed 8 is run for 20 seconds on 4 gateways before replicas that a segment crashes
    Then no invariant is violated, and all gateways serve at the end
    And the segment has crashed replicas

  Scenario: A short run in which the store is restored from copies violates no invariant
    When the schedule of seed 1 is run for 25 seconds on 4 gateways whose store is restored from copies
    Then no invariant is violated, and all gateways serve at the end
    And the store was restored from a copy

  Scenario: An upgrade of all routers one after the other, and its rollback, violate no invariant
    Given the build that landed last, from the history
    When the schedule of seed 1 is run for 30 seconds on 4 gateways, which are upgraded and rolled back
    Then no invariant is violated, and all gateways serve at the end
    And routers of both builds have served, and replicas have reported their own state

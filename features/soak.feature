Feature: What must hold holds under faults from outside

  Scenario: The plan of a run follows from its seed
    Then two plans of one seed are the same, and those of 20 seeds hold every kind of fault

  Scenario Outline: A short run of real gateways keeps every promise
    When the plan of seed <seed> is played for 20 seconds on <routers> gateways
    Then no promise is broken, and all gateways serve at the end

    Examples:
      | seed | routers |
      | 1    | 4       |
      | 2    | 4       |
      | 3    | 4       |

  Scenario: A short run in which the store comes back from copies keeps every promise
    When the plan of seed 1 is played for 25 seconds on 4 gateways whose store comes back from copies
    Then no promise is broken, and all gateways serve at the end
    And the store came back from a copy

  Scenario: Routers that are replaced by another build one after the other, and back, keep every promise
    Given the build that landed last, from the history
    When the plan of seed 1 is played for 30 seconds on 4 gateways, which are replaced and back
    Then no promise is broken, and all gateways serve at the end
    And routers of both builds have served, and replicas have spoken for themselves

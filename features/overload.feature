Feature: Under overload, prompts go to replicas that have cached their shared segments

  Scenario Outline: Under "<pattern>" load, fewer segments are recomputed and more requests start in time
    Given the load pattern "<pattern>"
    When it is replayed with the request's own wait alone, and with the policy of the routers
    Then at most <read> of 100 shared tokens are recomputed, and no fewer requests start in time

    Examples:
      | pattern   | read |
      | burst     | 50   |
      | half away | 50   |
      | jump      | 70   |
      | usual     | 80   |
      | hot key   | 80   |

  Scenario: Routers use the best of the compared choice policies
    Given all load patterns
    When each is replayed with each policy
    Then the policy of the routers starts the most requests in time over all patterns

  # Under a rate limit each engine accepts few requests. When prompts were sent to any engine with a
  # permit, engines that had cached none of their shared segments computed several of them at a time,
  # and the prompts delayed each other.
  Scenario Outline: If all engines announce limits, prompts go to engines that have cached their segments
    Given engines that all announce a limit of <limit> requests per second
    When the usual traffic is placed by cost, and at random
    Then placement by cost recomputes at most <read> of 100 shared tokens, and no fewer requests start in time

    Examples:
      | limit | read |
      | 2     | 80   |
      | 4     | 50   |

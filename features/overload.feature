Feature: Under the worst load prompts stay where their shared parts are held

  Scenario Outline: In "<pattern>" parts are read again less, and more requests begin in time
    Given the load pattern "<pattern>"
    When it is replayed by the own wait alone, and as routers choose
    Then at most <read> of 100 shared tokens are read again, and no fewer requests begin in time

    Examples:
      | pattern   | read |
      | burst     | 50   |
      | half away | 50   |
      | jump      | 70   |
      | usual     | 80   |
      | hot key   | 80   |

  Scenario: Routers choose as the best of the ways that were compared
    Given all load patterns
    When each is replayed under each way
    Then the way that routers choose by has the most requests in time over all of them

  # In need each engine takes few requests. Sent to any engine for which there was a permit, prompts
  # were read where none of their shared parts was held, several at a time, and held up each other.
  Scenario Outline: Where all engines name limits, prompts go where their shared parts are held
    Given engines that all announce a limit of <limit> requests per second
    When the usual traffic is placed by cost, and at random
    Then placement by cost repeats at most <read> of 100 shared tokens, and no fewer requests start in time

    Examples:
      | limit | read |
      | 2     | 80   |
      | 4     | 50   |

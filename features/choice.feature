Feature: The choice of a replica weighs the time to first token and the delay of other requests

  Scenario: Times to first token are estimated for any engine speed
    Given engines of any speed, up to three times slower or faster than known ones
    When prompts of many sizes have been read
    Then the expected times to first token are close to the true ones

  Scenario: Long prompts avoid replicas whose streams they would delay too long
    Given a fast and a slow engine with streams, of which a long prompt delays the slow one too long
    When each engine has read several long prompts
    Then another long prompt goes to the fast engine
    And the slow engine costs nothing extra once its streams have exceeded their allowed pause

  Scenario: Streams avoid engines with recent pauses beyond the allowed one
    Given two engines that differ only in the pauses of their streams
    When a stream is placed
    Then it goes to the engine without late pauses, until those of the other engine are long past

  Scenario: Estimates are finite and not negative for any samples
    When any times to first token and pauses are recorded in any order
    Then every estimate is a finite time of zero or more

Feature: A request goes where its answer begins soonest and others are hurt least

  Scenario: Reading speeds are learned, whatever they are
    Given engines of any speed, up to three times slower or faster than any that is known
    When prompts of many sizes have been read
    Then the expected first tokens are near those that come

  Scenario: Long prompts keep away from streams that they would hold up too long
    Given fast and slow engines with streams, where a long prompt holds up a slow one too long
    When long prompts have been read at each of them
    Then a further long prompt goes to a fast one
    And it may go to the slow one once the streams there have nothing to lose

  Scenario: Streams keep away from engines whose pauses were too long
    Given two engines that are alike but for the pauses of their streams
    When a stream is to be placed
    Then it goes to the one whose streams were in time, until the other's pauses are long past

  Scenario: What is expected is never negative, whatever was seen
    When any first tokens and pauses are seen in any order
    Then every expectation is a finite time of zero or more

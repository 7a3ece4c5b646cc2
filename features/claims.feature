Feature: A call that may not be repeated runs at most once

  Scenario: A key is granted once and a retry joins its answer
    Given the first owner of a claim shard
    When a key is claimed for agent A and then again through another router
    Then the first claim is granted and the second one joins agent A

  Scenario: A key can't be used for another request
    Given the first owner of a claim shard
    When a key is claimed for agent A and then for another body
    Then the second claim is refused as bad_request

  Scenario: A new owner does not grant a key that was born before its tenure
    Given an owner that took the shard over
    When a key born before the takeover is claimed
    Then the claim is refused as outcome_unknown

  Scenario: A new owner knows the claims that agents handed over
    Given an owner that took the shard over with a claim that agent A had started
    When that claim is made again
    Then it joins agent A

  Scenario: A key born after the guard is granted by a new owner
    Given an owner that took the shard over
    When a key born after the guard is claimed
    Then the claim is granted

  Scenario: A key from the future is refused
    Given the first owner of a claim shard
    When a key born 10 s from now is claimed
    Then the claim is refused as bad_request

  Scenario: A refused call frees its key
    Given the first owner of a claim shard
    When a key is claimed, released as not run, and claimed again
    Then both claims are granted

  Scenario: No two tenures overlap unless the first is fenced
    When any owners try to take a shard at any time
    Then a tenure is taken only after the one before has lapsed or is fenced

  Scenario: An agent refuses tickets that have lapsed or whose owner is fenced
    When an agent gets a ticket after its time, and one of a fenced owner
    Then both are refused as fenced

  Scenario: An agent runs a key once even if two dispatches arrive
    When an agent gets two dispatches with the same key
    Then it opens one answer

  Scenario: An agent keeps records until their block is settled, within its capacity
    Given an agent's records with room for 10
    When 8 records of 4 blocks come, one of them twice, and 2 blocks are settled
    Then 4 records are left, and 9 more of one block push out the oldest block

Feature: A non-retryable call runs at most once

  Scenario: A key is granted once and a retry joins the first request
    Given the first owner of a claim shard
    When a key is claimed for agent A and then again through another router
    Then the first claim is granted and the second one joins agent A

  Scenario: A key can't be reused for a different request
    Given the first owner of a claim shard
    When a key is claimed for agent A and then for a different body
    Then the second claim is refused as bad_request

  Scenario: A new owner does not grant a key that was created before its tenure
    Given a new owner of the shard
    When a key created before the takeover is claimed
    Then the claim is refused as outcome_unknown

  Scenario: A new owner has the claims that agents reported to it
    Given a new owner of the shard with a claim that agent A reported
    When that claim is made again
    Then it joins agent A

  Scenario: A new owner grants a key that was created after the guard period
    Given a new owner of the shard
    When a key created after the guard period is claimed
    Then the claim is granted

  Scenario: A key with a creation time in the future is refused
    Given the first owner of a claim shard
    When a key created 10 s in the future is claimed
    Then the claim is refused as bad_request

  Scenario: A call that the agent refuses releases its key
    Given the first owner of a claim shard
    When a key is claimed, released because the call did not run, and claimed again
    Then both claims are granted

  Scenario: Tenures of a shard do not overlap unless the earlier one is fenced
    When any sessions try to acquire a shard at any time
    Then a shard changes its owner only after the previous tenure has expired or is fenced

  Scenario: An agent refuses tickets that have expired or whose owner is fenced
    When an agent receives an expired ticket and a ticket of a fenced owner
    Then both are refused as fenced

  Scenario: An agent runs the request of a key once even if two dispatches arrive
    When an agent receives two dispatches with the same key
    Then it opens one response

  Scenario: An agent keeps usage records until their block is settled, within its capacity
    Given an agent's record store with a capacity of 10
    When 8 records of 4 blocks arrive, one of them twice, and 2 blocks are settled
    Then 4 records remain, and 9 more of one block evict the oldest block

Feature: Requests run where they are answered soonest, also with late and lost information

  Scenario: Silent, leaving and disabled upstreams get nothing
    Given a registry of 8 upstreams
    When one is silent, one says that it leaves, one is listed as leaving and one is disabled
    Then only the other 4 are chosen

  Scenario: An agent that is not in use gets its time to answer a retry
    Given a registry of 8 upstreams
    When a retry is sent to an agent that the router never heard of
    Then it counts as silent only after the silence limit

  Scenario: Ejection takes failing upstreams out for a while, but never most of them
    Given a registry of 8 upstreams
    When 2 upstreams fail three times in a row
    Then those 2 are not chosen
    When all upstreams fail three times in a row
    Then every upstream is chosen again

  Scenario: Prefix hits count leading blocks only
    When upstream A was sent blocks 1 to 4 and upstream B blocks 1, 2 and 9
    Then a prompt of blocks 1 to 5 has 4 hits at A and 2 at B

  Scenario: Each router uses a bounded subset, and together they use upstreams evenly
    When 40 routers see 200 upstreams
    Then each uses 10 to 40 of them and every upstream is used by 5 routers

  Scenario: Retries stay within a fraction of first tries
    When 1000 requests all fail and ask for a retry
    Then at most 110 retries are allowed

  Scenario: Low loads, high loads and late reports
    When the routing experiments run for a short time
    Then ours has a first token p95 at 90% load of at most 0.7 of the best baseline
    And at twice the load the goodput stays above 0.9 of the capacity
    And what may wait is refused first
    And frozen reports make it no worse than the best baseline
    And a raw use of late reports would herd

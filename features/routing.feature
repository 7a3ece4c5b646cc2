Feature: Requests are sent to the upstreams that respond soonest, even if reports are late or lost

  Scenario: Unresponsive, leaving and disabled upstreams receive no requests
    Given a registry of 8 upstreams
    When one stops reporting, one reports that it is leaving, one is listed as leaving and one is disabled
    Then only the other 4 are chosen

  Scenario: An agent outside the router's subset has the full time limit to respond to a retry
    Given a registry of 8 upstreams
    When a retry is sent to an agent from which the router has received nothing
    Then the agent counts as unresponsive only after the time limit

  Scenario: Failing upstreams are ejected for a while, but never most of them
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

  Scenario: Retries stay within a fraction of first attempts
    When 1000 requests all fail and may be retried
    Then at most 110 retries are allowed

  Scenario: The weighted score performs well under high load, overload and with late reports
    When the routing experiments run for a short time
    Then at 90% load the p95 time to first token is at most 0.7 of the best baseline's
    And at 200% load the goodput is at least 0.9 of the capacity
    And requests that may wait are rejected first
    And with frozen reports the p95 time to first token is at most the best baseline's
    And without smoothing of late reports, routers would herd to the same upstreams

Feature: The routers of a region share its limits

  # A router used to count only itself until it received heartbeats from the others, although the
  # instance list named them. Several routers that started at the same time then each admitted the
  # whole limit of an account.
  Scenario: A router counts all routers listed in its region, even before their first heartbeat
    Given a router whose region lists 4 routers, and which has received no heartbeat from the others
    Then it enforces a quarter of the region's limits

  Scenario: A router that could not read the instance list rejects requests that are limited
    Given a limiter that does not have the number of routers that share the limits
    Then a request of an account without limits is admitted, and one of a limited account is rejected with "rate_limited"

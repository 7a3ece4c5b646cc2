Feature: A region's limits hold for all its routers together

  # A router counted itself alone until it had heard of the others, though the list named them: each
  # of several that start at once then admitted the whole limit of an account.
  Scenario: A router goes by all that are listed in its region, heard or not
    Given a router of a region in whose list there are 4, of which it has heard none
    Then it takes a quarter of the region's limits

  Scenario: A router that could not read the list admits nothing that is limited
    Given a limiter that was not told how many routers share the limits
    Then a request of a limited account is refused with "rate_limited", and another one is admitted

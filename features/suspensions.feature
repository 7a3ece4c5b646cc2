Feature: Clocks include the time for which the machine was suspended

  # The monotonic clock does not count the time for which a machine is suspended; the boot-time clock
  # and the time of day do. After a suspension of 5 s, a router treated its list of replicas, its
  # leader and a caller's deadline as 5 s younger than they were.
  Scenario: The daemons' clock counts a suspension
    Given a machine whose monotonic clock stops while the other clocks advance by 5 s
    Then the daemons' clock has advanced by 5 s and reports a suspension of 5 s

  Scenario: A deadline that passed during a suspension is detected soon after it
    Given a request that waits for its replica with one minute left until its deadline
    When the machine is suspended for two minutes
    Then the request fails with an expired deadline within 20 s

  Scenario: Only the clock package reads the system's clocks
    When the sources are searched for direct reads of the system's clocks
    Then none is found outside the clock package

  Scenario: A router that was suspended ends its watches of the store
    Given a machine whose monotonic clock stops while the other clocks advance by 5 s
    When a router on it polls its clock
    Then it ends the pending watches, and a counter reports the length of the suspension

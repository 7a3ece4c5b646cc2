Feature: The time for which a machine was suspended counts

  # The steady clock does not count the time for which a machine is suspended; the clock since its
  # start and the time of day do. A router that was suspended for 5 s took a list of replicas, a
  # leader, and a caller's deadline for 5 s younger than they were.
  Scenario: The clock of the machine counts a suspension
    Given a machine whose steady clock stands still while the others run for 5 s
    Then the clock of the daemons has gone on by 5 s, and tells of a suspension of 5 s

  Scenario: A deadline that passed during a suspension is noticed soon after it
    Given a request that waits for its replica with a minute left
    When the machine is suspended for two minutes
    Then the request's time is over within some seconds

  Scenario: Nothing else reads the time for itself
    When the sources are searched for readings of the system's clocks
    Then none is found but in the clock's package

  Scenario: A router that was suspended asks the store anew
    Given a machine whose steady clock stands still while the others run for 5 s
    When a router on it looks at its clock
    Then it ends the watches that wait, and a line and a counter tell for how long it was suspended

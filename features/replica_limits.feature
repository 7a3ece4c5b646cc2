Feature: A replica that names a limit gets no more than that from all gateways together

  # A replica in need said in all its answers that it takes 1.1 requests a second from all gateways
  # together. Nothing read that. In the 3.7 s after its first such answer it got 15 requests from
  # four gateways (9, 3, 2 and 1), 12 were allowed; 3.1 a second came to it before and after that
  # answer, more than to any other of its service. In need, with little in flight, it looked quick:
  #   8.66 replica=86ec answered in_flight=3 slowness=0.69 expected_ms=362 first_ms=175
  #   9.05 replica=86ec answered in_flight=1 slowness=0.7 expected_ms=103 first_ms=77
  Scenario: A replica in need gets what it takes, and the others serve the rest
    Given 4 gateways that share repeats, before four replicas of each service
    When for 9 s one replica of each service names a limit of 1 request a second
    Then from 3 s after its first word no replica in need gets more than its limit allows in any 4 s
    And every repeatable request was answered

  # The same replica beside others that turn requests away: in need it has nothing in flight and
  # answers at once, so that it was everybody's next choice.
  Scenario: A replica in need is not drawn on where the others turn requests away
    Given 4 gateways that share repeats, before four replicas of each service
    When for 9 s one replica of each service names a limit of 1, and the others refuse 3 in 10
    Then from 3 s after its first word no replica in need gets more than its limit allows in any 4 s

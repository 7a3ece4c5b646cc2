Feature: A replica that names a limit gets no more than that from all gateways together

  # A replica in need said in all its answers that it takes 1.1 requests a second from all gateways
  # together. Nothing read that: in the 3.7 s after its first such answer it got 15 requests from
  # four gateways (9, 3, 2 and 1), where 12 were allowed; 3.1 a second came to it as before. In need,
  # with little in flight, it looked quick, and got more than any other of its service:
  #   8.66 replica=86ec answered in_flight=3 slowness=0.69 expected_ms=362 first_ms=175
  #   9.05 replica=86ec answered in_flight=1 slowness=0.7 expected_ms=103 first_ms=77
  # Read by each gateway for itself the limit would have held four times: no gateway knows what the
  # others send. Four gateways as processes before such a replica sent it 209 requests in 4 s.
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

  # Each gateway has less than one of the permits of a replica here, and callers come to all of them.
  Scenario: Where all replicas are in need, what they take is served
    Given 10 gateways that share repeats, before four replicas of each service
    When for 14 s all replicas name a limit of 2 requests a second, and callers ask for 4 of each service
    Then from 3 s after its first word no replica in need gets more than its limit allows in any 4 s
    And every repeatable request of the last 8 s was answered

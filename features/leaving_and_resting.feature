Feature: A replica that leaves or asks for rest is left alone, and its callers are served elsewhere

  # A replica was going to end while the store was away: its record could not say so for 12.8 s, and
  # its answers did. Each router that passed such answers on kept sending to it, since only the
  # record decided who is ready; one request came 2,476 ms after its router had passed on such an
  # answer, one 5,262 ms after, where 2,000 ms are allowed:
  #   10.61 request.ended replica=12f9 outcome=answered, its answer says that the replica leaves
  #   13.23 request.ended replica=12f9 outcome=answered, sent by its caller at 12.78
  # Four routers as processes before such a replica: 95 receipts and 60 streams in 9 s came later
  # than allowed.
  Scenario: A replica that says in its answers that it leaves gets nothing, whatever its record says
    Given four gateways that share repeats, before four replicas of each service
    When for 6 s one replica of each service says that it leaves, and its record does not
    Then no gateway that passed that on sends it what callers ask for over 2 s later
    And every repeatable request was answered

  # Two of six replicas turned requests away at once for 8 s and asked for 3 s of rest each time. One
  # router sent 7 requests within such a rest, two are allowed: nothing read what they asked for.
  # Their refusals came within 1 to 8 ms, and counted as quick first answers, so that they were
  # chosen before four idle replicas the more they refused:
  #   7.83 replica=7534 "refused with 503" in_flight=0 failing=0.0 slowness=0.81
  #   8.93 replica=7534 "refused with 503" in_flight=0 failing=0.0 slowness=0.67
  #  12.49 replica=7534 "refused with 503" in_flight=0 failing=0.0 slowness=0.37
  Scenario: A replica that asks for rest gets it, and the idle ones serve
    Given four gateways that share repeats, before four replicas of each service
    When for 6 s one replica of each service turns requests away and asks for rest
    Then no gateway sends it more than two requests from half a second into a rest to its end
    And every repeatable request was answered

  Scenario: A replica that turns requests away without a word on rest does not draw them
    Given four gateways that share repeats, before four replicas of each service
    When for 6 s one replica of each service turns requests away
    Then every repeatable request was answered

  # The same cause elsewhere: an answer that was passed on counted as good, whatever it said. A
  # replica that failed everything at once kept the requests that may run only once.
  Scenario: A replica that fails what may run only once does not draw it
    Given a gateway with two replicas per service
    When one portal replica fails everything, and 40 statuses are asked for one after the other
    Then the failing one got at most a tenth of them, and the callers got its failures as they are

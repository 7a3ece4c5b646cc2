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
    And every retryable request was answered

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

  # What one gateway was told outlives the replica's record and the store's absence, and reaches a
  # gateway that has just started; a limit that becomes narrower holds at once.
  Scenario Outline: Whatever else happens, a replica in need gets no more than it takes
    Given 4 gateways that share repeats, before four replicas of each service
    When one replica of each service names a limit of 1 request a second, and <trouble>
    Then from 3 s after its first word no replica in need gets more than its limit allows in any 4 s
    And every repeatable request was answered, but for those that <trouble> cut

    Examples:
      | trouble                          |
      | its record lapses for 0.5 s      |
      | the store is away for 3 s        |
      | three gateways start again       |
      | it named 5 before                |

  Scenario: A replica that names no limit any more is used as the others are
    Given 4 gateways that share repeats, before four replicas of each service
    When for 4 s one replica of each service names a limit of 1, and for 6 s none
    Then in the last 2 s it gets at least a tenth of its service's requests
    And every retryable request was answered

  Scenario: A gateway that has just started is told of limits before it asks the replica
    Given 4 gateways that share repeats, before four replicas of each service
    When one replica of each service names a limit of 1 request a second, and a gateway starts again
    Then the one that started was told of both limits by others

  Scenario: Where all replicas are at their limits callers are refused at once, each with a time
    Given a gateway with two replicas per service
    When both portal replicas name a limit of 0.5, and 8 receipts are asked for at once
    Then as many as the limit allows are served, and the others refused as at_limit and not sent
    And each of those has another time to come back, in steps of a second
    And a refused one that comes again at once keeps its time
    And its story names both replicas, and its loss is that all were at their limits

  Scenario: A second send for a slow answer takes no permit
    Given a gateway with two replicas per service
    When both portal replicas name a limit of 5, and one of them says nothing for a while
    Then a receipt at the silent one is not sent to the other one as well

  Scenario: A replica that names a limit while a connection to it comes up gets no more than that
    Given a gateway that has chosen a replica without a limit, whose connection comes up slowly
    When another answer names a limit before the first byte has gone, and all its permits are used
    Then the request is not sent there, and its permits are given back

  Scenario Outline: Of what a replica names only a plain decimal number is a limit
    Given a gateway with one replica per service
    When the portal replica names "<value>"
    Then the gateway takes it for <limit>

    Examples:
      | value      | limit    |
      | 2          | 2        |
      | 0.25       | 0.25     |
      | 0          | 0.05     |
      | 0.001      | 0.05     |
      | 1000000    | 1000000  |
      | -3         | nothing  |
      | +3         | nothing  |
      | nan        | nothing  |
      | inf        | nothing  |
      | 1e400      | nothing  |
      | 1_0        | nothing  |
      | 0x2        | nothing  |
      | 1,5        | nothing  |
      | 1, 2       | nothing  |
      | .5         | nothing  |
      | two        | nothing  |
      | 1;2        | nothing  |

  Scenario: Two headers say nothing, and what can't be read takes back nothing
    Given a gateway with two replicas per service
    When both portal replicas name a limit of 2, then something that can't be read, then two
    Then the limit holds on, with one line for each replica on what can't be read

  Scenario: An answer to an earlier request ends no limit
    Given a replica that named a limit in an answer
    Then an answer without one to a request that was sent before ends nothing
    And one to a request that was sent after ends it, and the replica gets more by steps
    And of two that cross the narrower limit holds

  Scenario: The newest word holds at all routers, whatever is late, lost or crosses
    Given routers that ask a replica, and tell each other what it names
    When the replica names limits, changes them and ends them, and answers and messages are late
    Then once it has been asked by each all know what it named last, whoever knew what before

  Scenario: Another start of a replica has named nothing
    Given a replica that named a limit in an answer
    Then its limit outlives a lapse of its record, and not another start

  Scenario: A word that comes before the record of its replica counts once that is listed
    Given a router that has not read the list of replicas
    When it is told of a limit, of a later one and of the earlier one again, and then reads the list
    Then the later limit holds, for the start that it was told of alone

  Scenario: A router that does not answer is not asked for a second, and the next one is
    Given a router that looks for the holders of a replica's permits
    When the first of them does not answer
    Then the next one is asked, and after a second the first one again

  Scenario: A permit that comes too late goes back
    Given a router that asks another one for a permit
    When the answer comes after the wait for it
    Then the permit is given back, and the request has none

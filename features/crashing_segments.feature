Feature: Prompt segments that crash replicas are detected and refused

  # Requests of different content had one segment in common, under which each replica ended that
  # began to respond. Crashes were counted by the whole request.
  Scenario Outline: A prompt segment that has crashed replicas is stopped on all routers
    Given four gateways before eight engine replicas that a prompt segment crashes
    When sound streams share an account and segments with streams that have it <place>, and <failure>
    Then at most three streams with it reach a replica later than 2 s after the fifth crash
    And from 4 s after it on, sound streams begin at least half as often as before

    Examples:
      | place         | failure                                           |
      | first         | nothing else fails                                |
      | in the middle | nothing else fails                                |
      | in the middle | the gateway that sent one is killed at each crash |
      | in the middle | all gateways are killed after the third crash     |
      | in the middle | the store is away for 3 s from the first crash on |

  Scenario Outline: Few sends follow the fifth crash, whichever messages routers receive
    Given <routers> routers that share the records of a store
    Then no order of events lets a crashing segment exceed the limit or refuses most sound streams

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 100     |
      | 760     |

  Scenario: A segment that was answered recently is not refused, however many replicas terminate
    Given 4 routers that share the records of a store
    When a segment was answered at every router, and six replicas with it terminate
    Then every router sends requests with it

  Scenario: A segment with an empty id that was answered recently is not refused
    Given 4 routers that share the records of a store
    When a segment with an empty id was answered at every router, and six replicas with it terminate
    Then every router sends requests with it

  Scenario: An answer at another router ends a wrong verdict on a segment
    Given 4 routers that share the records of a store
    When a segment's trial crashed a replica, and then a router answers a request with it
    Then every router sends requests with it

  Scenario: A segment whose verdict nothing contradicts is tried again after a minute
    Given 4 routers that share the records of a store
    When a segment's trial crashed a replica, and no request with it is answered
    Then requests with it are refused until one router runs a trial after a minute

  Scenario: Segments that were tried together are told apart by a request with one of them
    Given 4 routers that share the records of a store
    When two segments of a request were on three crashed replicas, and a trial of both crashed one
    Then a request with one of them is tried, and its answer clears that one only

  Scenario: A request with two suspect segments is tried while no router reaches the store
    Given 4 routers that share the records of a store
    When two segments of a request were on three crashed replicas, and no router reaches the store
    Then one router runs one trial of both

  # A caller names a segment of another one together with several that crash replicas.
  Scenario: A caller with several crashing segments does not get another caller's segment refused
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    Then a request with the other caller's segment alone is sent or tried

  Scenario: A caller whose streams each have a new crashing segment does not get another's refused
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with a new one that crashes replicas
    Then a request with the other caller's segment alone is sent or tried

  Scenario: A segment that never occurs alone is tried again after ten minutes
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    Then after ten minutes a request with it and a segment that was on no crashed replica is tried

  Scenario: A trial that was not sent does not end the pause before it
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    And a trial of the other caller's segment alone is not sent
    Then a request with that segment and a new one is refused

  # The record of a trial replaced the pause after the one before by a second, and forgot which
  # segments were on it.
  Scenario Outline: A trial without an outcome does not end the pause before it
    Given 4 routers that share the records of a store
    When two segments of a request were on three crashed replicas, and a trial of both crashed one
    And a request with one of them alone is tried, and <event>
    Then a request with that one and a new segment is refused until the pause of a minute is over

    Examples:
      | event                                                        |
      | its caller disconnects                                       |
      | its router is killed and restarted                           |
      | its router is killed and restarted, and the next is not sent |
      | its router does not report the end                           |

  Scenario: A trial that was not sent can be repeated a second later
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    And a trial of the other caller's segment alone is not sent, five times
    Then each one started at least a second after the one before
    And after one that crashes its replica, no request with the segment is sent again

  Scenario: An answer without output does not clear a segment
    Given 4 routers that share the records of a store
    When a segment was on three crashed replicas, and an answer without output is recorded
    Then one router runs a trial of it

  Scenario: An old answer does not protect a segment that crashes replicas
    Given 4 routers that share the records of a store
    When a segment was answered 31 s ago, and three replicas with it terminate
    Then one router runs a trial of it

  Scenario: A trial of a segment that replicas refuse counts as a trial
    Given a gateway before six engine replicas that a prompt segment crashes
    When streams with it have crashed three of them, and the others refuse ten more streams with it
    Then at most three of these reach a replica

  Scenario: Streams with a crashing segment that wait for a permit are checked again
    Given a gateway before six engine replicas that a prompt segment crashes
    When all replicas announce a rate limit, and streams with the segment wait for permits
    Then one stream is sent as a trial after the third crash, and no other one

  Scenario: A router that starts receives the segment with the most crashes
    Given 4 routers that share the records of a store
    When a segment was on three crashed replicas, and then 200 other requests are lost with one
    Then a notice of recent crashes names the segment's three crashes

  Scenario: The trace of a refused request names the segment and the crashes that led to the refusal
    Given a gateway before six engine replicas that a prompt segment crashes
    When streams with it have crashed four of them, and another one is requested
    Then its trace names the segment, and its cause the crashed replicas

Feature: Replicas that were never or not recently observed are tried at little cost to callers

  Scenario: A fast replica beside four others in use is found
    Given four replicas that take 20 ms and a fifth one that takes 5 ms
    When a router sends 170 requests a second for 8 s
    Then the fifth replica gets more than a fifth of the requests

  Scenario: A much faster replica of another failure domain is found
    Given four replicas that take 20 ms and one of another failure domain that takes 5 ms
    When a router sends 170 requests a second for 8 s
    Then the fifth replica gets more than a fifth of the requests

  Scenario: Requests do not leave their failure domain where callers gain nothing
    Given four replicas that take 20 ms and ten of another failure domain that take 22 ms
    When a router sends 170 requests a second for 30 s
    Then fewer than one request in fifty goes to the other failure domain

  Scenario Outline: Equal replicas share the load
    Given five replicas that take 20 ms
    When <routers> routers send <rate> requests a second each for 60 s
    Then each replica gets at least a tenth of the requests

    Examples:
      | routers | rate |
      | 1       | 170  |
      | 4       | 10   |
      | 100     | 2    |

  Scenario Outline: Many routers with few requests find the faster replica
    Given four replicas that take 20 ms and a fifth one that takes 5 ms
    When <routers> routers send 2 requests a second each for 8 s
    Then the fifth replica gets more than a fifth of the requests

    Examples:
      | routers |
      | 4       |
      | 100     |

  Scenario: A failure domain that reopens gets load again
    Given two replicas in use, and two of a failure domain that was evacuated for 20 s
    When the failure domain reopens and a router sends 40 requests a second for 8 s
    Then each of its replicas gets at least a tenth of the requests

  Scenario Outline: A replica that was slow and has recovered is used again
    Given four replicas that take 20 ms and a fifth one that is ten times slower for 30 s
    When the fifth replica is as fast as the others and <routers> routers send <rate> requests a second each for 60 s
    Then in the next 20 s the fifth replica gets at least a tenth of the requests

    Examples:
      | routers | rate |
      | 1       | 170  |
      | 4       | 40   |
      | 100     | 2    |

  Scenario Outline: A bad new replica delays one request of each router at a time
    Given four replicas in use at 20 routers with <rate> requests a second each
    When a replica is added that <behaviour>
    Then in 60 s no router has two requests in flight there
    And it gets fewer than 8 requests from each router
    And all requests together take at most <factor> times as long as without it

    Examples:
      | rate | behaviour           | factor |
      | 2    | is silent           | 2.6    |
      | 40   | is silent           | 1.2    |
      | 2    | fails each request  | 1.1    |
      | 40   | fails each request  | 1.1    |
      | 2    | takes ten times as long | 1.25 |
      | 40   | takes ten times as long | 1.1  |

  # Between the choice of a replica and the begin of the request, other threads choose as well.
  Scenario: Of requests that arrive together, one tries a new replica
    Given four replicas in use at 20 routers with 40 requests a second each
    When a replica is added that is silent
    And 50 requests choose a replica before any of them has begun
    Then one of them goes to the new replica

  Scenario: Trials of slow replicas cost at most a tenth of the response times
    Given four replicas that take 20 ms and ten that take 200 ms
    When all have been tried by 20 routers and requests continue for 120 s
    Then all requests together take at most 1.15 times as long as without the slow ones

  Scenario: The slowness of an engine ages only while it is not used
    Given an engine that was three times slower than expected
    Then its slowness is unchanged after 10 s and close to 1 after 3 min without first tokens

  Scenario: Prompts stay at the engine that holds their shared segments
    Given an engine in use that holds a shared segment, and an engine that was never used
    When further requests with this segment are placed while one is in flight
    Then all of them go to the engine that holds the segment

  Scenario Outline: A new replica that can't be reached is not tried again at once
    Given a replica that has <history>, and connecting to it <failure>
    When an attempt is made there
    Then it is avoided for <seconds> s

    Examples:
      | history         | failure           | seconds |
      | never responded | takes 1 s         | 16      |
      | never responded | is refused at once | 1      |
      | responded       | takes 1 s         | 1       |

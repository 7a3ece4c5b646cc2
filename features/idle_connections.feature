Feature: Idle connections to replicas are kept and preferred

  Scenario Outline: Connections are kept as long as the replica announces
    Given a pool with a connection to a replica that announces an idle timeout of <announced> s
    When the connection has been idle for <idle> s
    Then the pool <result> it

    Examples:
      | announced | idle | result  |
      | 60        | 57   | reuses  |
      | 60        | 59   | closes  |
      | 4         | 2    | reuses  |
      | 4         | 3    | closes  |
      | no        | 5    | reuses  |
      | no        | 7    | closes  |
      | 86400     | 290  | reuses  |
      | 86400     | 310  | closes  |

  Scenario Outline: Connections left over from a burst are closed
    Given a replica that accepts <maximum> connections in total, and <routers> routers
    When a pool has had 20 connections to it idle for 10 s of an announced 60 s
    Then <kept> of them are still open

    Examples:
      | maximum | routers | kept |
      | no      | 4       | 4    |
      | 100     | 4       | 4    |
      | 100     | 20      | 2    |
      | 100     | 100     | 0    |
      | 100     | no      | 0    |

  Scenario: All idle connections together are limited
    Given a pool that keeps at most 10 idle connections
    When 3 connections to each of 5 replicas become idle, one replica after the other
    Then the 10 most recently used ones are kept

  Scenario: A pool never offers a connection that it would not reuse
    Given a pool with a connection to a replica that announces an idle timeout of 60 s
    When the replica closes the connection at its timeout
    Then the pool reports no idle connection there

  Scenario: The time that connecting takes is learned
    When connections to an address take 2 ms, and one takes 1 s
    Then the learned time is between 2 and 25 ms

  Scenario: Equal replicas are chosen by their idle connections
    Given two replicas that are equally fast, of which one has an idle connection
    Then all requests go to the one with the idle connection
    And they go to the other one if it is faster by more than connecting takes
    And they go to both if the other one has not been used for 40 s

  Scenario Outline: Replicas whose connections have closed are not starved
    Given five equal replicas that close connections after 3 s, at which connecting takes 2 ms
    When <routers> routers send <rate> requests a second to them for 120 s
    Then each of the replicas gets at least a tenth of the requests

    Examples:
      | routers | rate |
      | 4       | 2    |
      | 4       | 10   |
      | 100     | 2    |

  Scenario: Fewer connections are opened
    Given five equal replicas that close connections after 3 s, at which connecting takes 2 ms
    When 20 routers send 1 requests a second to them for 120 s
    Then fewer than two thirds of the connections are opened that are opened at random

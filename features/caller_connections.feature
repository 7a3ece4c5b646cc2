Feature: A router closes no connection over a request that has arrived

  Scenario Outline: A request that was not read yet is answered when <event>
    Given a relay server with a kept connection
    When its reading thread is busy, a request arrives on that connection, and <event>
    Then the request is answered completely

    Examples:
      | event                          |
      | idle connections are closed    |
      | there are too many connections |
      | the idle timeout passes        |
      | the server is drained          |

  Scenario: A request that is just being read is answered when idle connections are closed
    Given a relay server with a kept connection
    When idle connections are closed while a request on that connection is being read
    Then the request is answered completely

  Scenario: A request on a connection that was not accepted yet is answered when the server is drained
    Given a relay server with a kept connection
    When its reading thread is busy, a request arrives on a new connection, and the server is drained
    Then the request is answered completely

  Scenario: Requests are still read after an exception on the reading thread
    Given a relay server with a kept connection
    When an exception is raised on its reading thread, and then a request arrives
    Then the request is answered completely

  Scenario: Connections are still accepted after an exception while one was accepted
    Given a relay server with a kept connection
    When an exception is raised while a connection is accepted, and then a request arrives on a new one
    Then the request is answered completely

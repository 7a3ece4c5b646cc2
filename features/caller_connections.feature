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

  Scenario: A request whose rest arrived while the reading thread was held up is answered
    Given a relay server with a kept connection
    When its reading thread is held up for over two timeouts, and the rest of a request arrives
    Then the request is answered completely

  Scenario: Requests that arrive together are answered in their order
    Given a relay server with a kept connection
    When three requests arrive together on that connection, the last one in two parts
    Then the three requests are answered in their order

  Scenario: A request on a connection that was not accepted yet is answered when the server is drained
    Given a relay server with a kept connection
    When its reading thread is busy, a request arrives on a new connection, and the server is drained
    Then the request is answered completely

  Scenario: A connection that was accepted during a drain was closed before its request arrived
    Given a relay server with a kept connection
    When a connection is opened during a drain, and its request follows after 30 ms
    Then the request is answered completely
    When the other request ends, and connections that send nothing are open
    Then the drain ends in time, with all requests answered

  Scenario: The response to a request in progress announces the close when the server leaves
    Given a relay server with a kept connection
    When the server begins to leave while a request is in progress
    Then the request is answered completely, and the response announces the close

  Scenario: A response that its caller reads for longer than the idle timeout is completed
    Given a relay server with a kept connection
    When a large response is read steadily for several idle timeouts
    Then that response is complete

  Scenario: A connection is not idle for the time that its request took
    Given a relay server with a kept connection
    When a request takes several idle timeouts, and its thread is held up right after the response
    Then the connection remains usable

  Scenario: Requests are still read after an exception on the reading thread
    Given a relay server with a kept connection
    When an exception is raised on its reading thread, and then a request arrives
    Then the request is answered completely

  Scenario: A request is answered although no further thread can be started
    Given a relay server with a kept connection
    When a request arrives while the only thread is busy and the system refuses to start another
    Then the request is answered completely

  Scenario: Connections are still accepted after an exception while one was accepted
    Given a relay server with a kept connection
    When an exception is raised while a connection is accepted, and then a request arrives on a new one
    Then the request is answered completely

  Scenario: An exception of the handler adds nothing to a complete response
    Given a relay server with a kept connection
    When its handler raises an exception after a complete response
    Then its caller receives that response, and then the end of the connection

  Scenario: An exception of the handler adds nothing to a part of an unframed response
    Given a relay server with a kept connection
    When its handler raises an exception after a part of an unframed response
    Then its caller receives no more than that part, and then a reset of the connection

  Scenario: A request that ends after its server was stopped writes to no other socket
    Given a relay server with a kept connection
    When the server is stopped during a request, other sockets are opened, and the request ends
    Then none of these sockets receives anything

  Scenario: A stop goes on if a connection is closed by its reading thread meanwhile
    Given a relay server with a kept connection
    When a connection is closed by the reading thread while the server is stopped
    Then the stop ends without an exception

  Scenario Outline: Readiness is still told after an exception <place>
    Given a server of readiness
    When an exception is raised <place> of that server
    Then the server still responds

    Examples:
      | place                          |
      | while a connection is accepted |
      | on the reading thread          |

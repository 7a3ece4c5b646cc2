Feature: A planned shutdown of a gateway completes every request that it has read

  Scenario: A stream in progress at SIGTERM is completed
    Given a gateway with replicas of both services
    When SIGTERM is received during a stream
    Then the stream's response is complete, with every event
    And the gateway was no longer ready, and it exits with code 0

  Scenario: A request that arrives late in a shutdown is refused at once
    Given a gateway with replicas that take longer than a shutdown
    When a request arrives on a new connection late in a shutdown
    Then it receives a complete response 503 with a Retry-After, and no replica received it

  Scenario: A request that waits for a thread is refused when its gateway is shut down
    Given a gateway with 2 threads and replicas that take longer than a shutdown
    When a request waits for a thread until late in a shutdown
    Then it receives a complete response 503 with a Retry-After, and no replica received it

  Scenario: A request that a replica has not answered at the end of a shutdown gets a failure
    Given a gateway with a replica that does not answer, and a shutdown of 4 s
    When SIGTERM is received during a request that may run only once
    Then the request receives a failure, complete, before the gateway exits

  Scenario: Each of many requests that a replica has not answered at the end of a shutdown gets a failure
    Given a gateway with a replica that does not answer, and a shutdown of 4 s
    When SIGTERM is received during 200 requests that may run only once
    Then each of these requests receives a failure, complete

  Scenario: A gateway ends within its grace period although its store does not respond
    Given a gateway with replicas that take longer than a shutdown
    When SIGTERM is received during a stream, and its store does not respond
    Then the gateway exits with code 0 within its grace period

  Scenario: A gateway that is shut down settles the exact token use
    Given a gateway with replicas of both services
    When some streams are answered and the gateway is shut down
    Then the store holds exactly the tokens used, and no session is open

  Scenario: SIGHUP applies changed settings without interrupting requests
    Given a gateway with replicas of both services
    When its settings file changes and SIGHUP is received during a stream
    Then the stream's response is complete, and the connection remains usable
    And the new settings are in effect

  Scenario: A gateway stops although SIGTERM follows directly on SIGHUP
    Given a gateway with replicas of both services
    When SIGHUP is received in quick succession under load, and SIGTERM during a stream
    Then the stream's response is complete, with every event
    And the gateway exits with code 0 within its grace period

  Scenario: Invalid settings leave the previous ones in effect
    Given a gateway with replicas of both services
    When its settings file becomes invalid and SIGHUP is received
    Then it logs the invalid setting and continues to serve requests

  Scenario: Changed settings are detected without a signal
    Given a gateway with replicas of both services
    When its settings file changes without a signal
    Then the new settings are in effect

  Scenario: SIGHUP during the start does not end the process
    When SIGHUP is received while the program of a gateway is still being imported
    Then the program reaches the start of the gateway

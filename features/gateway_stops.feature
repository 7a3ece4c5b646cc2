Feature: A planned stop of a gateway cuts nothing that it has read

  Scenario: A stream that runs when SIGTERM comes is finished
    Given a gateway before replicas of both services
    When SIGTERM comes while a stream runs
    Then the stream's answer is whole, and says that the connection closes
    And the gateway was not ready any more, and ends with exit code 0

  Scenario: A request that comes late in a stop is sent elsewhere at once
    Given a gateway before replicas that take longer than a stop
    When a request comes on a new connection late in a stop
    Then it gets a whole answer 503 that says when to come back, and no replica got it

  Scenario: A router that is stopped settles exactly what was used
    Given a gateway before replicas of both services
    When some streams are answered and the gateway is stopped
    Then the store counts just their tokens, and no session is open

  Scenario: SIGHUP applies changed settings and cuts nothing
    Given a gateway before replicas of both services
    When its settings file changes and SIGHUP comes while a stream runs
    Then the stream's answer is whole, and the connection goes on
    And the new settings are in force

  Scenario: Settings that are not accepted leave those before in force
    Given a gateway before replicas of both services
    When its settings file is spoilt and SIGHUP comes
    Then it says what is wrong and serves on

  Scenario: Settings that change without a signal are found
    Given a gateway before replicas of both services
    When its settings file changes without a signal
    Then the new settings are in force

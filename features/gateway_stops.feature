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

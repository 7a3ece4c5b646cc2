Feature: A response whose head is malformed is a failure wherever responses are read

  Scenario: A malformed head from a replica is an explicit error to a non-retryable call
    Given a gateway with one replica per service
    When a status is requested for each malformed head
    Then each caller receives a complete response 502 without a replica's signature

  Scenario: A retryable call whose response has a malformed head is retried at another replica
    Given a gateway with two replicas per service
    When a receipt is requested for each malformed head of a first response
    Then each caller receives the other replica's complete response

  Scenario: A stream whose response has a malformed head is retried at another replica
    Given a gateway with two replicas per service
    When a score is requested for each malformed head of a first response
    Then each caller receives every event once in one complete response

  Scenario: A stream that may not be repeated fails if its response has a malformed head
    Given a gateway with one replica per service
    When a review is requested for each malformed head
    Then each caller receives a complete response 502 without a replica's signature

  Scenario: Unusual heads that are well-formed are passed on
    Given a gateway with one replica per service
    When a status is requested for each unusual head
    Then each caller receives the replica's whole body with the status and the fields of the head

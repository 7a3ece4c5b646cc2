Feature: An evacuated failure domain gets no requests

  Scenario: A failure domain gets no requests until its evacuation is withdrawn
    Given a gateway with replicas in two failure domains
    When the operator evacuates the first failure domain
    Then soon all requests go to the second failure domain
    And the log records the start of the evacuation with its revision
    When the operator withdraws the first evacuation and evacuates the second failure domain
    Then soon all requests go to the first failure domain
    And the log records the end of the evacuation with its duration

  Scenario: A retry does not go to an evacuated failure domain
    Given a gateway with replicas in two failure domains
    When the first failure domain is evacuated and one of two replicas of the second one refuses
    Then the second failure domain answers every request and the first one receives none

  Scenario: A router applies an evacuation from its first request on
    Given a gateway with replicas in two failure domains
    When the first failure domain is evacuated and another router starts
    Then from its first request on, the new router uses only the second failure domain

  Scenario: A router that cannot read the store learns of an evacuation from its peers
    Given two gateways with separate access to the store and replicas in two failure domains
    When the store rejects the second gateway as busy and the first failure domain is evacuated
    Then soon the second gateway sends all requests to the second failure domain

  Scenario: An evacuation is read again if its change was lost with the store's history
    Given a gateway with replicas in two failure domains
    When the store discards its history while the first failure domain is evacuated
    Then soon all requests go to the second failure domain

  Scenario: Requests are refused at once and not executed if all failure domains are evacuated
    Given a gateway with replicas in two failure domains
    When the operator evacuates both failure domains
    Then a call gets a 503 with Retry-After, and no replica receives it
    And the refusal names the evacuated failure domains

  Scenario: An evacuation with an unreadable value still applies
    Given a gateway with replicas in two failure domains
    When an evacuation of the first failure domain is written with a malformed value
    Then soon all requests go to the second failure domain

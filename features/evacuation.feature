Feature: Nothing is sent to a failure domain that the operator evacuates

  Scenario: An evacuated failure domain gets nothing until it is taken back
    Given a gateway before replicas in two failure domains
    When the operator evacuates the first failure domain
    Then soon everything goes to the second one
    And the log tells when the evacuation came into force, with its revision
    When the operator takes the first failure domain back and evacuates the second one
    Then soon everything goes to the first one
    And the log tells when the evacuation ended, and how long it was in force

  Scenario: A repeat goes to another failure domain
    Given a gateway before replicas in two failure domains
    When the first failure domain is evacuated and one of two replicas of the second one refuses
    Then every request is answered by the second failure domain and none reaches the first one

  Scenario: A router that starts knows an evacuation before it serves
    Given a gateway before replicas in two failure domains
    When the first failure domain is evacuated and another router starts
    Then from its first request on everything goes to the second one

  Scenario: A router that the store turns away hears of it from its peers
    Given two gateways with a door to the store each, before two failure domains
    When the second one's door is busy and the first failure domain is evacuated
    Then soon everything that the second gateway gets goes to the second failure domain

  Scenario: An evacuation whose change was lost with the store's history is read again
    Given a gateway before replicas in two failure domains
    When the store forgets its history while the first failure domain is evacuated
    Then soon everything goes to the second one

  Scenario: With all failure domains evacuated requests are refused at once and did not run
    Given a gateway before replicas in two failure domains
    When the operator evacuates both failure domains
    Then a call gets 503 with the time to come back, and nothing runs
    And the refusal names the evacuated failure domains

  Scenario: A value that is not readable still evacuates its failure domain
    Given a gateway before replicas in two failure domains
    When an evacuation of the first failure domain is written with a value of no known form
    Then soon everything goes to the second one

Feature: An account can use all of its prepaid tokens, and no more

  Scenario: Requests are served until the prepaid tokens are used up
    Given two gateways and an account with 20000 prepaid tokens
    When requests of up to 1500 tokens are sent through both until they are refused
    Then 13 were served, and the refusals have status 402
    And the replicas never produced more tokens than were prepaid

  Scenario: A top-up takes effect soon
    Given two gateways and an account with 3000 prepaid tokens
    When the tokens are used and the operator raises them to 6000
    Then requests are served again

  Scenario: A reduced limit is not exceeded with tokens that a router holds
    Given two gateways and an account with 1000000 prepaid tokens
    When some requests are served and the operator reduces the tokens to those used
    Then further requests are refused with 402

  Scenario: A killed router's tokens are not spent twice
    Given two gateways and an account with 30000 prepaid tokens
    When the first is killed after some requests and the second spends until it is refused
    Then the replicas never produced more tokens than were prepaid

  Scenario: Unused tokens of a killed router become available once it runs again
    Given two gateways and an account with 100000 prepaid tokens
    When the first one is killed while it holds 10000 tokens or more, and started again
    And the requests of both are sent until they are refused
    Then the replicas never produced more tokens than were prepaid
    And the killed run counts for what it used, one request, and its ceiling headroom
    And of the rest, no more than 3000 tokens are left unused

  Scenario: A router that the store rejects draws through one that reaches it
    Given two gateways and an account with 200000 prepaid tokens
    When the store rejects the first and it is sent more requests than it holds tokens for
    Then all of them were served

  Scenario: While the store is down, routers continue with their own and borrowed tokens
    Given two gateways and an account with 1000000 prepaid tokens
    When both have served some requests and the store goes down for both
    Then requests through either are served

  Scenario Outline: Writes with lost responses spend nothing twice
    Given two gateways and an account with 20000 prepaid tokens
    When the store loses responses of writes, which take effect "<when>", while requests are sent
    Then the replicas never produced more tokens than were prepaid
    And at least 11 requests were served in the end

    Examples:
      | when  |
      | now   |
      | later |

Feature: The newest configuration is in force, and never an older one

  Scenario: Routes and keys come and go
    Given a gateway with one replica per service
    When a route is added and a key is taken away
    Then the route is served and the key is refused with 401 soon
    And an unknown path is answered 404 and a call without a key 401

  Scenario: Before any configuration is known a gateway answers 503 and is not ready
    Given a gateway that knows no configuration
    Then it is not ready, and a call gets 503 with the time to come back
    And it serves once the operator has written one

  Scenario: A lower version does not replace a higher one
    Given a gateway with one replica per service
    When a change is in force and the store then shows the version before
    Then the change stays in force

  Scenario: History that is gone is read again
    Given a gateway with one replica per service
    When the store forgets its history while a route is added
    Then the route is served soon

  Scenario Outline: A router that the store turns away learns from its peers
    Given two gateways with a door to the store each
    When the second one's door is "<fault>" and a key is taken away
    Then both refuse the key soon

    Examples:
      | fault  |
      | busy   |
      | reset  |
      | silent |

  Scenario: A router that starts while the store turns it away begins to serve
    Given two gateways with a door to the store each
    When a third one starts with a busy door and the first as its seed
    Then it is ready and serves

  Scenario: A replica that drains or is gone gets nothing more
    Given a gateway with two replicas per service
    When one portal replica drains and then is unlisted
    Then all receipts go to the other one

  Scenario: A replica that comes is used
    Given a gateway with one replica per service
    When another portal replica is listed and the first one is unlisted
    Then all receipts go to the new one

  Scenario: A router that lost the store makes sure of the next watch before it trusts it
    Given a mirror of a store that fails once
    When it follows the store
    Then watches are short ones until one is answered, and the mirror is connected after it

  Scenario: Connections notice another side that has gone silent
    Given a stand-in store and a stand-in replica
    When connections to both are opened
    Then the system gives up on both after seconds, with and without bytes under way

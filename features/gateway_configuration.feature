Feature: The gateway applies the latest configuration and never an older one

  Scenario: Routes and keys are added and removed
    Given a gateway with one replica per service
    When a route is added and a key is revoked
    Then the route is served and the key is refused with 401 soon
    And an unknown path gets 404 and a call without a key gets 401

  Scenario: A gateway without a configuration responds with 503 and is not ready
    Given a gateway without a configuration
    Then it is not ready, and a call gets 503 with Retry-After
    And it serves once the operator has written a configuration

  Scenario: A lower version does not replace a higher one
    Given a gateway with one replica per service
    When a change has taken effect and the store then returns the previous version
    Then the change stays in effect

  Scenario: The state is read again after the store has compacted its history
    Given a gateway with one replica per service
    When the store compacts its history while a route is added
    Then the route is served soon

  Scenario Outline: A router without access to the store receives changes from its peers
    Given two gateways with separate store proxies
    When the second one's proxy is "<fault>" and a key is revoked
    Then both refuse the key soon

    Examples:
      | fault  |
      | busy   |
      | reset  |
      | silent |

  Scenario: A router that starts without access to the store serves requests
    Given two gateways with separate store proxies
    When a third one starts with a busy proxy and the first as its seed
    Then it is ready and serves

  Scenario: A replica that drains or is unlisted receives no more requests
    Given a gateway with two replicas per service
    When one portal replica drains and is then unlisted
    Then all receipts go to the other one

  Scenario: A new replica receives requests
    Given a gateway with one replica per service
    When another portal replica is listed and the first one is unlisted
    Then all receipts go to the new one

  Scenario: A mirror that lost the store counts as connected only after a watch is answered
    Given a mirror of a store that fails once
    When the mirror watches the store
    Then watches are short until one is answered, and then the mirror is connected

  Scenario: Connections detect an unresponsive peer
    Given a stand-in store and a stand-in replica
    When connections to both are opened
    Then the system drops both within seconds, with and without data in flight

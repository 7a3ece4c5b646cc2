Feature: Routers keep a correct view while the store is restored from an older copy

  Scenario Outline: A configuration written after the store was restored takes effect
    Given three gateways and two replicas of each service
    When the store is restored from a copy "<how>"
    And then a key is revoked and a route is added
    Then all gateways reject the key and serve the route
    And the gateways made few list calls to the store

    Examples:
      | how                                  |
      | and reports that the history is lost |
      | while watches wait                   |
      | twice                                |
      | and first rejects all calls          |
      | but not for one gateway              |

  Scenario: A configuration takes effect although its revision number existed before the restore
    Given three gateways and two replicas of each service
    When the store is restored from a copy, and gets more writes than it lost before it answers
    Then all gateways reject the key and serve the route
    And the gateways made few list calls to the store

  Scenario: A replica that registers after the store was restored is used
    Given three gateways and two replicas of each service
    When the store is restored from a copy "and reports that the history is lost"
    And then another portal replica registers, and the others unregister
    Then all gateways send requests only to the new one

  Scenario: An evacuation that ends after the store was restored is lifted
    Given three gateways and two replicas of each service
    And the failure domain of all replicas is evacuated
    When the store is restored from a copy "and reports that the history is lost"
    And then the evacuation ends
    Then all gateways send requests to it again

  Scenario: A gateway that starts after the store was restored loads the configuration
    Given three gateways and two replicas of each service
    When the store is restored from a copy "and reports that the history is lost"
    And then a key is revoked and a route is added
    And one gateway is killed and restarted
    Then all gateways reject the key and serve the route

  Scenario: Known items stay in force until their writers have written them again
    Given three gateways and two replicas of each service
    When the store is restored without a key's revocation, a replica's draining and an evacuation
    Then none of the three is undone, either before or after they are written again

  Scenario: Mirrors retain known items until they are written again or expire
    Given two mirrors, one updated by the other, of a store that is restored from copies
    Then both hold the known items until they are written again, and finally the stored items
    And a newer item written before their first read after the restore is accepted at once

  Scenario: Revisions of different eras are kept apart
    Given revisions of several eras
    Then each contains its era and number, and a later era compares greater
    And watches and conditions of an earlier era fail, and writes in another era are uncertain
    And an earlier era that is recorded late changes nothing

  Scenario: The trace of a refused request shows that the store was restored before it
    Given three gateways and two replicas of each service
    When the store is restored from a copy "and reports that the history is lost"
    And a call with an unknown key is refused
    Then its trace shows the era of the store and the retained items

  Scenario Outline: An unreadable era is logged once, and treated as era 0
    Given a client of a store whose responses name the era "<named>"
    When it makes three calls
    Then its era is <era>, and one log line reports an unreadable era: <logged>

    Examples:
      | named               | era     | logged |
      | 8388607             | 8388607 | no     |
      | 8388608             | 0       | yes    |
      | 9999999999999999999 | 0       | yes    |
      | -1                  | 0       | yes    |
      | seven               | 0       | yes    |
      | 1, 2                | 0       | yes    |

  Scenario: A store that names no era is treated as having a single one
    Given three gateways and a store that names no era
    When then a key is revoked and a route is added
    Then all gateways reject the key and serve the route

  Scenario: A request that crashes replicas stays refused although the store lost its record
    Given three gateways and four portal replicas
    When a receipt request has crashed three of them, and the store loses its record
    Then the record is written again, and no gateway forwards the request

  Scenario Outline: Tokens that a killed gateway drew in the lost period are not handed out again
    Given three gateways and a store that first names era <first>
    And an account with 24000 prepaid tokens
    When one gateway is killed after it drew tokens, and the store loses its writes
    And the other gateways use tokens until they are refused
    Then no more tokens were delivered than were prepaid

    Examples:
      | first |
      | 0     |
      | 1     |

  Scenario: A replica that is not written again after the store was restored is removed
    Given three gateways and two replicas of each service
    When the store permanently loses a replica's record
    Then all gateways finally remove that replica

Feature: What routers know stays right while the store comes back from an older copy of itself

  Scenario Outline: A configuration written after the store came back from a copy is in force
    Given three gateways before two replicas of each service
    When the store comes back from a copy "<how>"
    And then a key is taken away and a route is added
    Then all gateways refuse the key and serve the route
    And the store was asked for few lists

    Examples:
      | how                               |
      | and says that the history is gone |
      | while watches wait                |
      | twice                             |
      | and first refuses all calls       |
      | but not to one gateway            |

  Scenario: A configuration is in force whose revision was there before the store came back
    Given three gateways before two replicas of each service
    When the store comes back from a copy, and more is written than was lost before it answers
    Then all gateways refuse the key and serve the route
    And the store was asked for few lists

  Scenario: A replica that comes after the store came back from a copy is used
    Given three gateways before two replicas of each service
    When the store comes back from a copy "and says that the history is gone"
    And then another portal replica comes, and the others go
    Then all gateways send to the new one alone

  Scenario: An evacuation that ends after the store came back from a copy is over
    Given three gateways before two replicas of each service
    And the failure domain of all replicas is evacuated
    When the store comes back from a copy "and says that the history is gone"
    And then the evacuation ends
    Then all gateways send to it again

  Scenario: A gateway that starts after the store came back from a copy knows the configuration
    Given three gateways before two replicas of each service
    When the store comes back from a copy "and says that the history is gone"
    And then a key is taken away and a route is added
    And one gateway is killed and starts again
    Then all gateways refuse the key and serve the route

  Scenario: What was known holds until its writers have written it again
    Given three gateways before two replicas of each service
    When the store loses a key's end, a replica's draining and an evacuation, and is back
    Then none of the three is undone before they are written again, nor after

  Scenario: Mirrors keep what is known until it is written again, and not for good
    Given two mirrors, one of which tells the other, of a store that comes back from copies
    Then both hold what was known until it is written again, and in the end what is stored
    And a newer item that was written before they looked is taken at once

  Scenario: Revisions of different histories are not taken for each other
    Given revisions of several histories
    Then each holds its history and number, and a later history is later
    And watches and conditions of an earlier one fail, and writes that another one did are unsure
    And an older one that is heard of late changes nothing

  Scenario: The story of a refused request tells that the store came back before it
    Given three gateways before two replicas of each service
    When the store comes back from a copy "and says that the history is gone"
    And a call with an unknown key is refused
    Then its story tells which history the store names, and what was kept

  Scenario Outline: A history that can't be read is told once, and the store followed as one
    Given a client of a store whose answers name the history "<named>"
    When it makes three calls
    Then it knows history <known>, and one line tells what could not be read: <told>

    Examples:
      | named               | known   | told |
      | 8388607             | 8388607 | no   |
      | 8388608             | 0       | yes  |
      | 9999999999999999999 | 0       | yes  |
      | -1                  | 0       | yes  |
      | seven               | 0       | yes  |
      | 1, 2                | 0       | yes  |

  Scenario: A store that names no history is followed as one
    Given three gateways whose store names no history
    When then a key is taken away and a route is added
    Then all gateways refuse the key and serve the route

  Scenario: A request that ends replicas stays refused though the store lost its record
    Given three gateways before four portal replicas
    When a receipt has ended three of them, and the store loses its record
    Then the record is written again, and no gateway sends the receipt on

  Scenario Outline: Tokens that a killed gateway drew in the lost time are not handed out again
    Given three gateways whose store first names history <first>
    And an account with 24000 prepaid tokens
    When one gateway is killed after it drew tokens, and the store loses what it wrote
    And the other gateways spend until they are refused
    Then no more was given than was prepaid

    Examples:
      | first |
      | 0     |
      | 1     |

  Scenario: What is not written again after the store came back is over in the end
    Given three gateways before two replicas of each service
    When the store loses a replica's record for good
    Then all gateways leave that replica out in the end

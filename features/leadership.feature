Feature: One router of each failure domain follows the store for the others there

  Scenario: Of many routers one leads each failure domain, and two at least lead
    Given 12 routers in 3 failure domains that start together
    When they have told each other of themselves for 2 seconds
    Then each failure domain has one leader, and all others rest
    And all routers choose the same primary for each account, one of the leaders

  Scenario: The routers of one failure domain follow the store by two
    Given 5 routers in 1 failure domains that start together
    When they have told each other of themselves for 2 seconds
    Then 2 of them lead

  Scenario: Of instances of two sizes a large one leads, also where a small one began
    Given 12 routers in 3 failure domains that start together
    And they have told each other of themselves for 2 seconds
    When one that rests in each failure domain starts again on a larger instance
    Then each failure domain is led by the larger instance, and by no other

  Scenario Outline: A leader that <trouble> is replaced in time
    Given 12 routers in 3 failure domains that start together
    And they have told each other of themselves for 2 seconds
    When one leader "<trouble>"
    Then its failure domain is led by another one within 1700 milliseconds
    And few routers have asked the store in between

    Examples:
      | trouble        |
      | falls silent   |
      | lost the store |
      | stops          |

  Scenario: While the store answers nobody those that led keep what they drew, and lead again
    Given 12 routers in 3 failure domains that start together
    And they have told each other of themselves for 2 seconds
    When the store answers nobody for 8 seconds
    Then the primaries stay those that led
    And each failure domain has one leader once the store is back

  Scenario: A mirror takes over what a leader tells, and nothing that leaves a gap
    Given a mirror that was told of all items up to revision 10
    When it is told of a change after revision 10 and of one that follows an unknown one
    Then it knows the first one, and fetches for the second

  Scenario: What was removed before a list is known to be gone
    Given a mirror of a store whose list is as of revision 20
    When it has listed the items
    Then it counts revision 20 as its newest change

  Scenario: A resting router makes no call and hears of changes
    Given a fleet of three gateways in one failure domain
    When a key is taken away and a replica is listed
    Then all three know of both soon, and one of them watched nothing

  # The leaders' connections to the store went silent without an end, while the third router's did
  # not. Their watches noticed it after three seconds of keep-alive, or never where the system of
  # the store still answers that; until then they told that the store answers them, and the third
  # one rested behind them: store.followed_alone came 3.4 s after the silence, and a key that had
  # been taken away 2.0 s ago was still known.
  Scenario: A router that rests hears of a change though its leaders' connections fell silent
    Given a fleet of three gateways in one failure domain
    When the store says nothing more to the two that lead, and a key is taken away
    Then the third one knows of it within 10 seconds

  # A router that started while the store was slow was heard of by the others, and heard of them,
  # up to 3.8 s later: the loop that tells of it waited for each call that lists it.
  Scenario: A router that the store does not answer tells of itself all the same
    Given a seed that listens
    When a router starts whose store says nothing, and four of its calls are given up
    Then the seed was told of it six times or more

  Scenario: A router that missed something fetches what has changed, and not the whole list
    Given a router with a list of 3,000 replicas, and a second one that missed the last changes
    When the second one requests the missed changes from the first
    Then it receives only the changes, and has the same list

  Scenario: A router that missed more than is remembered fetches the whole list
    Given a router with a list of 3,000 replicas, and a second one without any items
    When the second one requests the missed changes from the first
    Then it receives the whole list, and has the same list

  Scenario: Changes of many replicas are told in several messages that leave no gap
    Given a router with a list of 3,000 replicas, and a second one that is up to date
    When 1,000 replicas change at once and the first one sends the changes
    Then every message fits into a datagram, and the second one has the same list
    And a router that missed one of the messages detects the gap

  Scenario Outline: A whole list is encoded once for all that ask together
    Given a router with a list from era <era> of the store
    When two routers without any items request the list
    Then both receive the same bytes, which were encoded once

    Examples:
      | era |
      | 0   |
      | 1   |

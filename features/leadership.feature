Feature: One router of each failure domain watches the store and updates the others

  Scenario: Each of several failure domains has one leader
    Given 12 routers in 3 failure domains that start together
    When they have exchanged status messages for 2 seconds
    Then each failure domain has one leader, and all others receive changes from it
    And all routers choose the same primary for each account, one of the leaders

  Scenario: A fleet of a single failure domain has two leaders
    Given 5 routers in 1 failure domains that start together
    When they have exchanged status messages for 2 seconds
    Then 2 of them lead

  Scenario: A router on a larger instance takes over from a leader on a smaller one
    Given 12 routers in 3 failure domains that start together
    And they have exchanged status messages for 2 seconds
    When one follower in each failure domain restarts on a larger instance
    Then each failure domain is led by the larger instance, and by no other

  Scenario Outline: A leader that <trouble> is replaced in time
    Given 12 routers in 3 failure domains that start together
    And they have exchanged status messages for 2 seconds
    When one leader "<trouble>"
    Then its failure domain is led by another router within 1700 milliseconds
    And few routers have called the store in between

    Examples:
      | trouble              |
      | becomes unresponsive |
      | loses the store      |
      | stops                |

  Scenario: Leaders stay the primaries of accounts during a store outage, and lead after it
    Given 12 routers in 3 failure domains that start together
    And they have exchanged status messages for 2 seconds
    When the store answers no router for 8 seconds
    Then the primaries are the same as before
    And each failure domain has one leader once the store is back

  Scenario: A mirror applies reported changes unless they leave a gap
    Given a mirror that has all items up to revision 10
    When it receives a change after revision 10 and one after a revision that it does not have
    Then it applies the first one, and rejects the second

  Scenario: The revision of a list covers removals after its newest item
    Given a mirror of a store whose list is as of revision 20
    When the mirror has read the list
    Then its newest change is revision 20

  Scenario: A follower makes no call to the store and still receives changes
    Given a fleet of three gateways in one failure domain
    When a key is revoked and a replica is listed
    Then all three apply both soon, and one of them has never led

  # The leaders' connections to the store stopped delivering data without being closed. Their
  # watches detected it after three seconds of keep-alive, or never if the store's operating system
  # still answers that. Until then they reported that the store answers them, so that the third
  # router relied on them: it logged store.followed_alone only 3.4 s after the connections failed,
  # and still accepted a key 2.0 s after it had been revoked.
  Scenario: A follower receives a change although its leaders' connections deliver no data
    Given a fleet of three gateways in one failure domain
    When the store sends no more data to the two leaders, and a key is revoked
    Then the third router applies that version within 10 seconds

  # The loop that sends status messages used to wait for each call that lists the router in the
  # store. If the store was slow, a starting router and the others detected each other up to 3.8 s
  # late.
  Scenario: A router that the store does not answer sends status messages nevertheless
    Given a seed that receives messages
    When a router starts whose store does not answer, and has made four calls
    Then the seed has received at least six messages

  Scenario: A router that missed changes fetches these, and not the whole list
    Given a router with a list of 3,000 replicas, and a second one that missed the last changes
    When the second one requests the missed changes from the first
    Then it receives only the changes, and has the same list

  Scenario: A router that missed more changes than its peer retains fetches the whole list
    Given a router with a list of 3,000 replicas, and a second one without any items
    When the second one requests the missed changes from the first
    Then it receives the whole list, and has the same list

  Scenario: Changes of many replicas are sent in several messages without a gap
    Given a router with a list of 3,000 replicas, and a second one that is up to date
    When 1,000 replicas change at once and the first one sends the changes
    Then every message fits into a datagram, and the second one has the same list
    And a router that missed one of the messages detects the gap

  Scenario Outline: A whole list is encoded once for routers that ask at the same time
    Given a router with a list from era <era> of the store
    When two routers without any items request the list
    Then both receive the same bytes, which were encoded once

    Examples:
      | era |
      | 0   |
      | 1   |

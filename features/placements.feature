Feature: Routers exchange the placements of their requests

  Scenario: Every router receives each placement of the others once, and none of its own
    Given 9 routers in 3 failure domains that exchange placements through leaders
    When each router sends two requests to replicas
    Then every router has received the placements of all others once

  Scenario: Placements that exceed the limit of a message are dropped and counted
    Given 9 routers in 3 failure domains that exchange placements through leaders
    When one router sends 80 requests at once
    Then every other router has received 50 of them, and 30 are counted as dropped

  Scenario: The placements that a leader forwards fit into a datagram
    Given 60 routers in 2 failure domains that exchange placements through leaders
    When each router sends 50 requests before the leader forwards them
    Then every message has less than 64000 bytes, and the other placements are counted as dropped

  Scenario: A replica that has to process another router's long prompt is not chosen
    Given two replicas of equal speed
    When another router has sent a prompt of 40000 tokens to one of them
    Then a request goes to the other one until the prompt is processed

  Scenario: A prompt segment that another router sent to a replica is expected to be cached there
    Given two replicas of equal speed
    When another router has sent a prompt with a shared segment to the one of lower rank
    Then a request with that segment is expected to process fewer tokens there

  Scenario: The error of the estimate is reported as median and 90th percentile
    Given two replicas of equal speed
    When 20 first tokens arrive after twice the expected time and 5 after five times
    Then the error's median is 2 and its 90th percentile is 5

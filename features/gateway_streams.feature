Feature: Streams lose, repeat and join nothing

  Scenario: A stream that breaks is taken up at another replica within the same answer
    Given a gateway before two replicas of each service
    When a score is streamed and its replica breaks off within an event
    Then the caller gets every event once in one whole answer, with the first replica's signature
    And the second replica was asked to go on after the last event that the caller has

  Scenario: A replica that begins again instead of going on repeats nothing
    Given a gateway before two replicas of each service
    When a score is streamed, breaks off, and the next replica begins again
    Then the caller gets every event once in one whole answer, with the first replica's signature

  Scenario: A stream that may not be resumed is cut where it breaks
    Given a gateway before two replicas of each service
    When a review is streamed and its replica breaks off within an event
    Then the caller gets whole events and an answer that does not look complete
    And only one replica ran it

  Scenario: A stream that ends in order before its last event does not look complete
    Given a gateway before two replicas of each service
    When a review is streamed and its replica ends early
    Then the caller gets whole events and an answer that does not look complete

  Scenario: A caller that leaves in the middle ends the run
    Given a gateway before replicas with long answers
    When a caller leaves in the middle of a score
    Then the replica's run is cancelled

  Scenario: A caller that leaves before the first byte ends the run
    Given a gateway before replicas with long answers
    When a caller leaves while a receipt is worked on
    Then the replica's run is cancelled

  Scenario: A route's timeout ends a request at once with a final answer
    Given a gateway before replicas that say nothing
    When a status with a timeout of 300 ms is asked for by a caller that would wait a minute
    Then the caller gets a whole answer 504 long before its deadline
    And the replica's run is cancelled

  Scenario: A replica is told what is left of the caller's time
    Given a gateway before two replicas of each service
    When a receipt with 2000 ms to go is lost at the first replica
    Then both replicas were given less than 2000 ms, and the second less than the first

Feature: What may not be repeated runs at most once, and "not run" is true

  Scenario: A call that the replica refused may go to no other where the route allows one
    Given a gateway before two replicas of each service
    When a status is asked for and every replica refuses it
    Then the caller gets 503 with the time to come back, and no replica ran it

  Scenario: A refusal after a run that was lost does not say that nothing ran
    Given a gateway before two replicas of each service
    When a receipt is asked for, the first replica loses its answer and the second refuses
    Then the caller gets 502, which promises nothing

  # A replica that reads a request later than the router waits for it to answer has been given up by
  # then, and counts as one that may run it.
  Scenario: A refusal after a run that was lost does not say that nothing ran, by one that reads late
    Given a gateway before two replicas of each service
    And one replica that reads requests later than routers wait for an answer
    When a receipt is asked for, the first replica loses its answer and the second refuses
    Then the caller gets 502, which promises nothing

  Scenario: A reused connection that is reset counts as sent
    Given a gateway before one replica of each service
    When a status is answered, and the next one is lost on the kept connection
    Then the second caller gets 502, and the replica ran each once

  Scenario: Repeats stay within the fleet's budget
    Given a gateway before three replicas that all lose every answer
    When 100 receipts are asked for
    Then the replicas got at most the requests, a fifth of them and the slack

  Scenario: A replica that can't be reached costs no attempt
    Given a gateway before two replicas of each service
    When one portal replica is gone without a word and receipts are asked for
    Then every receipt is answered

  Scenario: An address that was handed to another replica is not taken for the one that left
    Given a gateway before one replica of each service
    When the portal's address belongs to another replica and a status is asked for
    Then the caller gets 503 with the time to come back, and no replica ran it

  Scenario: What one request learns of a replica that came back under a new id serves all others
    Given two gateways that have used a portal replica, and another one that was just listed
    When the one that was used comes back under a new id that is not listed
    Then every status is answered, and the new id was met once

  Scenario: What others tell of a replica that is gone ends, though they go on telling it
    Given a replica that another router told was replaced
    When that is told again and again for 30 seconds
    Then it is left out for 15 seconds, and again only after this router met it itself

  # Of 3,200 receipts one ended in 504 on a loaded machine. Its replica, the only one, had answered
  # later than five times the usual; a repeat was allowed since that replica itself counted as
  # another one, and then there was none to send it to.
  Scenario: A slow answer of the only replica is waited for
    Given a gateway before one replica that has answered quickly
    When that replica takes 40 times as long for a receipt
    Then the caller gets its answer, after one attempt

  Scenario: A failure of the only replica is passed on
    Given a gateway before one replica that has answered quickly
    When that replica answers a receipt with a failure of its own
    Then the caller gets that failure, after one attempt

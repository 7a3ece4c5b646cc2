Feature: Non-retryable requests run at most once, and "not run" is reported only if it is true

  Scenario: A call that a replica refused ends with its refusal if the route allows one attempt
    Given a gateway with two replicas per service
    When a status is requested and every replica refuses it
    Then the caller receives 503 with a Retry-After, and no replica ran the request

  Scenario: A refusal after an attempt whose response was lost does not report "not run"
    Given a gateway with two replicas per service
    When a receipt is requested, the first replica drops its response and the second one refuses
    Then the caller receives 502 or 504, which do not state that the request was not run

  # A replica that reads a request after the attempt timeout has been abandoned by then, and counts
  # as one that may run the request.
  Scenario: A refusal after an attempt that timed out before the replica read it does not report "not run"
    Given a gateway with two replicas per service
    And one replica that reads requests only after the attempt timeout
    When a receipt is requested, the first replica drops its response and the second one refuses
    Then the caller receives 502 or 504, which do not state that the request was not run

  # A request whose first replica was given up for being slow was lost if the second one refused it.
  Scenario Outline: A slow replica still answers a request if the next one does not run it
    Given a gateway with two replicas per service
    When a <request> is requested, the first replica takes <ms> ms and the second one's behaviour is "<behaviour>"
    Then the caller receives the complete response of the first replica, which both were asked for

    Examples:
      | request | ms   | behaviour |
      | receipt | 500  | refuse    |
      | receipt | 500  | rest      |
      | receipt | 500  | lose      |
      | score   | 1000 | refuse    |

  Scenario: A slow replica's run is cancelled once the next one responds
    Given a gateway with two replicas per service
    When a receipt is requested, the first replica takes 20000 ms and the second one's behaviour is "well"
    Then the caller receives the second replica's response, and the first one's run is cancelled

  Scenario: A replica that sends nothing delays a refusal only by its timeout
    Given a gateway with two replicas per service
    When a receipt is requested, the first replica takes 20000 ms and the second one's behaviour is "refuse"
    Then the caller receives 504 within 2000 ms, and the first one's run is cancelled

  Scenario: A request on a reused connection that is reset counts as sent
    Given a gateway with one replica per service
    When a status is answered, and the response to the next one is lost on the reused connection
    Then the second caller receives 502, and the replica ran each request once

  Scenario: Retries stay within the fleet's budget
    Given a gateway with three replicas that drop every response
    When 100 receipts are requested
    Then the replicas received at most the requests, a fifth of them as retries, and the slack

  Scenario: An unreachable replica does not count as an attempt
    Given a gateway with two replicas per service
    When one portal replica crashes and receipts are requested
    Then every receipt is answered

  Scenario: A request is not run by another replica that now has the address of a terminated one
    Given a gateway with one replica per service
    When the portal's address belongs to another replica and a status is requested
    Then the caller receives 503 with a Retry-After, and no replica ran the request

  Scenario: A replaced replica that one request detects is excluded for all other requests
    Given two gateways that have used a portal replica, and a second one that was just listed
    When the used one restarts under a new id that is not listed
    Then every status is answered, and the new id received one request

  Scenario: Other routers' reports of a replaced replica expire even if they are repeated
    Given a replica that another router reported as replaced
    When the report is repeated every second for 30 seconds
    Then it is excluded for 15 seconds, and again only after this router detects the replacement itself

  # On a loaded machine, one of 3,200 receipts ended in 504. The only replica took longer than five
  # times the usual response time, and a retry was allowed because that replica itself counted as an
  # alternative; then no replica was left to send it to.
  Scenario: A slow response of the only replica is awaited
    Given a gateway with one replica that has responded quickly
    When that replica takes 40 times as long for a receipt
    Then the caller receives its response after one attempt

  Scenario: A failure of the only replica is relayed
    Given a gateway with one replica that has responded quickly
    When that replica responds to a receipt with a server error
    Then the caller receives that error after one attempt

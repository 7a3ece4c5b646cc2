Feature: A response that ends before the request was sent is judged like any other

  # The reset was reported to the router's write, and its next read found an orderly end: the part
  # reached callers as a complete response, with a length made from the part.
  Scenario Outline: A part without a length is an explicit error to a non-retryable upload
    Given a gateway with one replica per service that responds "<behaviour>" to uploads
    When 10 statuses are uploaded with <framing>
    Then each caller receives a complete response 502 without a replica's signature
    And each request was run once

    Examples:
      | behaviour                              | framing  |
      | early, unframed part, reset            | a length |
      | early, unframed part, reset            | chunks   |
      | early, unframed part, closed           | a length |
      | early, half of its length, reset       | a length |
      | early, chunks without their end, reset | a length |

  Scenario Outline: A retryable upload whose response is reset is retried at another replica
    Given a gateway with two replicas per service, and a first response "early, unframed part, reset" to uploads
    When 10 receipts are uploaded with <framing>
    Then each caller receives the other replica's complete response

    Examples:
      | framing  |
      | a length |
      | chunks   |

  Scenario: A long part that is passed on as it arrives is recognisably incomplete
    Given a gateway with one replica per service that responds "early, unframed and long part, reset" to uploads
    When 10 statuses are uploaded with a length
    Then no caller receives a complete success
    And each request was run once

  Scenario Outline: A reset stream without framing is recognisably incomplete
    Given a gateway with one replica per service that responds "early, unframed events, reset" to uploads
    When 10 reviews are uploaded with <framing>
    Then no caller receives a complete success
    And each request was run once

    Examples:
      | framing  |
      | a length |
      | chunks   |

  Scenario Outline: A reset stream without framing is resumed at another replica
    Given a gateway with two replicas per service, and a first response "early, unframed events, reset" to uploads
    When 10 scores are uploaded with <framing>
    Then each caller receives every event once in one complete response

    Examples:
      | framing  |
      | a length |
      | chunks   |

  Scenario Outline: A whole response is passed on, although the connection is reset after its end
    Given a gateway with one replica per service that responds "<behaviour>" to uploads
    When 10 statuses are uploaded with a length
    Then each caller receives the replica's whole response

    Examples:
      | behaviour                                |
      | early, its whole length, reset           |
      | early, whole chunks, reset               |
      | early, unframed whole, ended, then reset |

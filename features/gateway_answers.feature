Feature: Callers receive only complete responses to their own requests, whatever replicas send

  Scenario Outline: A broken response to a non-retryable call results in an explicit error
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "<behaviour>"
    Then the caller receives a complete response <status> without a replica's signature
    And the replica ran the request once
    And the next status request receives the replica's response unchanged

    Examples:
      | behaviour        | status |
      | lose             | 502    |
      | break off        | 502    |
      | end early        | 502    |
      | unframed         | 502    |
      | garbage          | 502    |
      | unsigned         | 502    |
      | another's answer | 502    |
      | bad length       | 502    |
      | two lengths      | 502    |
      | bad chunk        | 502    |

  Scenario Outline: A retryable call with a broken response is retried at another replica
    Given a gateway with two replicas per service
    When a receipt is requested and the first replica's response is "<behaviour>"
    Then the caller receives the other replica's complete response

    Examples:
      | behaviour        |
      | lose             |
      | break off        |
      | end early        |
      | unframed         |
      | garbage          |
      | bad length       |
      | two lengths      |
      | bad chunk        |
      | fail             |
      | refuse           |
      | another's answer |

  Scenario Outline: Surplus responses never reach a caller
    Given a gateway with one replica per service
    When 40 different receipts are requested while the replica's responses are "<behaviour>"
    Then each caller receives the response to its own request

    Examples:
      | behaviour    |
      | surplus      |
      | late surplus |

  Scenario: A response without a length is complete if its connection is closed cleanly
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "unframed whole"
    Then the caller receives the replica's response

  Scenario: A replica's error response is relayed unchanged
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "fail"
    Then the caller receives the replica's 500 with its signature and body

  Scenario: Requests reach the replica unchanged
    Given a gateway with one replica per service
    When requests with unusual paths, headers and bodies are sent, with a length and in chunks
    Then the replica received each method, path, body and header unchanged
    And the replica received no gateway header that the caller forged

  Scenario: After an early response to a long request, no later request is read as its remainder
    Given a gateway with one replica per service
    When long requests are refused before their bodies are read, and short ones follow
    Then the short ones are answered, and no replica read other bytes as the rest of a long body

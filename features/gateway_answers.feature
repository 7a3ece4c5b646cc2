Feature: A caller gets whole answers of its own, whatever a replica sends

  Scenario Outline: A broken answer to a call that may not be repeated is a clear failure
    Given a gateway before one replica of each service
    When a status is asked for and the replica's answer is "<behaviour>"
    Then the caller gets a whole answer <status> without a replica's signature
    And the replica ran it once
    And the next status is answered as the replica answers it

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

  Scenario Outline: A broken answer to a call that may be repeated is had from another replica
    Given a gateway before two replicas of each service
    When a receipt is asked for and the first replica's answer is "<behaviour>"
    Then the caller gets the other replica's whole answer

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

  Scenario Outline: Surplus answers never reach a caller
    Given a gateway before one replica of each service
    When 40 different receipts are asked for while the replica's answers are "<behaviour>"
    Then each caller gets the answer to its own request

    Examples:
      | behaviour    |
      | surplus      |
      | late surplus |

  Scenario: An answer without a length is whole when its connection ends in order
    Given a gateway before one replica of each service
    When a status is asked for and the replica's answer is "unframed whole"
    Then the caller gets the replica's answer

  Scenario: A replica's own failure is passed on as it is
    Given a gateway before one replica of each service
    When a status is asked for and the replica's answer is "fail"
    Then the caller gets the replica's 500 with its signature and body

  Scenario: Requests reach the replica unchanged
    Given a gateway before one replica of each service
    When requests with odd paths, headers and bodies are sent, whole and in chunks
    Then the replica got each method, path, body and header unchanged
    And no header of the router's own that a caller forged

  Scenario: A replica that answers before it has read a long request gets no other bytes for it
    Given a gateway before one replica of each service
    When long requests are refused before they are read, and others follow
    Then the others are answered, and no replica read other bytes as the rest of a long one

Feature: Bytes without end from a replica are bounded in time and memory

  Scenario Outline: A request whose replica sends <bytes> without end is given up in time
    Given a gateway with a replica that sends <bytes> without end
    When a <kind> with a deadline of 2 s is sent to it
    Then the request ends at most half a second after its deadline, without a complete success
    And the replica's connections are closed, and the gateway's memory has grown by less than 32 MB

    Examples:
      | bytes                       | kind    |
      | header lines                | receipt |
      | a line without an end       | receipt |
      | interim responses           | receipt |
      | an unframed body            | receipt |
      | an unframed body            | status  |
      | chunks                      | receipt |
      | a chunk extension           | receipt |
      | responses to other requests | receipt |
      | an event without an end     | stream  |
      | an unframed event           | stream  |
      | comments                    | stream  |

  Scenario Outline: An event without an end is given up long before the deadline
    Given a gateway with a replica that sends <bytes> without end
    When a stream with a deadline of 20 s is sent to it
    Then the request ends within 3 s, and the gateway's memory has grown by less than 32 MB

    Examples:
      | bytes                   |
      | an event without an end |
      | an unframed event       |

  Scenario Outline: A call to another router that sends <bytes> without end is given up
    Given another router that sends <bytes> without end
    When its list of replicas is fetched with a time limit of 500 ms
    Then the call has failed after 3 s, and has read less than 32 MB

    Examples:
      | bytes             |
      | a body            |
      | a body in drops   |
      | a header in drops |

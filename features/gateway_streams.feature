Feature: Streams neither lose, duplicate nor mix events

  Scenario: A broken stream is resumed at another replica within the same response
    Given a gateway with two replicas per service
    When a score is streamed and its replica breaks off within an event
    Then the caller receives every event once in one complete response, with the first replica's signature
    And the second replica was asked to resume after the last event that the caller received

  Scenario: Events are not duplicated if the next replica restarts the stream
    Given a gateway with two replicas per service
    When a score is streamed, breaks off, and the next replica restarts it
    Then the caller receives every event once in one complete response, with the first replica's signature

  Scenario: A non-resumable stream is cut off where it breaks
    Given a gateway with two replicas per service
    When a review is streamed and its replica breaks off within an event
    Then the caller receives complete events and a response that is recognisably incomplete
    And only one replica ran the request

  Scenario: A stream that ends cleanly before its last event is recognisably incomplete
    Given a gateway with two replicas per service
    When a review is streamed and its replica ends early
    Then the caller receives complete events and a response that is recognisably incomplete

  # Such a stream reached the caller with all events, and then broke off.
  Scenario Outline: A stream without framing is complete if its connection is closed cleanly
    Given a gateway with two replicas per service
    When a <stream> is streamed and the first response is "unframed stream"
    Then the caller receives every event once in one complete response, with the first replica's signature
    And only one replica ran the request

    Examples:
      | stream |
      | score  |
      | review |

  Scenario Outline: A stream without framing that breaks off is recognisably incomplete
    Given a gateway with two replicas per service
    When a review is streamed and the response is "<behaviour>"
    Then the caller receives complete events and a response that is recognisably incomplete

    Examples:
      | behaviour                        |
      | unframed stream, cut in an event |
      | unframed stream, reset           |
      | unframed stream, replica ended   |
      | unframed stream, replica ending  |

  Scenario Outline: A stream without framing that breaks off is resumed at another replica
    Given a gateway with two replicas per service
    When a score is streamed and the first response is "<behaviour>"
    Then the caller receives every event once in one complete response, with the first replica's signature

    Examples:
      | behaviour                        |
      | unframed stream, cut in an event |
      | unframed stream, reset           |
      | unframed stream, replica ended   |
      | unframed stream, replica ending  |

  Scenario: A stream without framing and without events is retried at another replica
    Given a gateway with two replicas per service
    When a score is streamed and the first response is "unframed stream without events"
    Then the caller receives every event once in one complete response

  Scenario: A caller that disconnects during a stream cancels the run
    Given a gateway with replicas that send long responses
    When a caller disconnects in the middle of a score
    Then the replica's run is cancelled

  Scenario: A caller that disconnects before the first byte cancels the run
    Given a gateway with replicas that send long responses
    When a caller disconnects while a receipt is processed
    Then the replica's run is cancelled

  Scenario: A route's timeout ends a request with a complete error response
    Given a gateway with replicas that send nothing
    When a status with a timeout of 300 ms is requested by a caller with a deadline of one minute
    Then the caller receives a complete response 504 long before its deadline
    And the replica's run is cancelled

  Scenario: Replicas receive the time left until the caller's deadline
    Given a gateway with two replicas per service
    When the response to a receipt with a deadline of 2000 ms is lost at the first replica
    Then both replicas received a deadline of at most 2000 ms

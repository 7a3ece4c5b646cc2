Feature: A response without a length is complete only if its replica runs on

  # The operating system closes the connections of a process that crashes in the same orderly way as
  # a process that has sent everything. Such parts reached callers as complete responses, with the
  # replica's signature and a length made from the part.
  Scenario Outline: A part that ends with its replica is an explicit error to a non-retryable call
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "<behaviour>"
    Then the caller receives a complete response 502 without a replica's signature
    And the replica ran the request once
    And the request's line and a counter say that its response was judged as "replica_ended"

    Examples:
      | behaviour                |
      | unframed, replica ended  |
      | unframed, replica ending |

  Scenario Outline: A retryable call whose response ends with its replica is retried at another one
    Given a gateway with two replicas per service
    When a receipt is requested and the first response is "<behaviour>"
    Then the caller receives the other replica's complete response

    Examples:
      | behaviour                |
      | unframed, replica ended  |
      | unframed, replica ending |

  Scenario Outline: A part that was passed on as it arrived is recognisably incomplete
    Given a gateway with one replica per service
    When a status is requested by HTTP/<version> and the response is "unframed and long, replica ended"
    Then the caller receives a response that is recognisably incomplete

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  Scenario: A caller of HTTP/1.0 receives an explicit error instead of a part
    Given a gateway with one replica per service
    When a status is requested by HTTP/1.0 and the response is "unframed, replica ended"
    Then the caller receives a complete response 502 without a replica's signature

  Scenario Outline: A part is no response if its replica is known to have ended, whoever listens now
    Given a gateway with a replica whose record states its start
    When a response without a length ends after <evidence>
    Then the caller receives a complete response 502 without a replica's signature
    And the request's line and a counter say that its response was judged as "replica_ended"

    Examples:
      | evidence                                                      |
      | another request's connection to its replica was refused       |
      | the replica's record is of another start at the same address  |
      | another replica was listed at the same address                |

  # A machine that goes down ends its processes first, which closes their connections.
  Scenario: A part is no response if its replica can't be reached after its end
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "unframed, replica unreachable"
    Then the caller receives a complete response 502 without a replica's signature
    And the request's line and a counter say that its response was judged as "unreachable"

  Scenario: A replica that is suspended after a whole response has not ended
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "unframed whole, then suspended"
    Then the caller receives the replica's response
    And the request's line and a counter say that its response was judged as "whole"

  # A router that judged every response without a length made failures of these.
  Scenario Outline: A response that has no body is complete without a length
    Given a gateway with one replica per service
    When a receipt is requested by <method> and the response is "<behaviour>"
    Then the caller receives a complete response <status> with the replica's signature

    Examples:
      | method | behaviour                 | status |
      | GET    | no content, replica ended | 204    |
      | HEAD   | unframed, replica ended   | 200    |

  Scenario: Responses of a sound replica without a length are passed on whole
    Given a gateway with one replica per service
    When 1000 receipts are answered without a length
    Then each caller receives the response to its own request
    And a counter says that 1000 responses were judged as "whole"

  Scenario Outline: Whether a process listens is told within a second
    Given an address whose listener <listener>
    When it is probed
    Then it is found to be <state>

    Examples:
      | listener                                        | state       |
      | was closed                                      | refused     |
      | accepts and reads                               | listening   |
      | belongs to a suspended process                  | listening   |
      | is closed 20 ms later, with connections in wait | refused     |
      | resets each connection                          | listening   |
      | answers nothing, as its queue is full           | unreachable |

  Scenario: A running listener is recognised without a pause
    Given an address whose listener accepts and reads
    When it is probed 100 times
    Then half of the probes took less than 20 ms each

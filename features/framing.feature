Feature: Messages are framed unambiguously, and truncated ones are never taken as complete

  Scenario: A valid request is parsed equally in whatever pieces it arrives
    When any valid requests arrive in any pieces
    Then each is parsed as it was sent, and two on one connection stay separate

  Scenario: An accepted request is written to a replica as it was parsed
    When any requests with unusual headers are parsed and written to a replica
    Then a strict parser reads exactly one request, with the same method, path, body and id

  Scenario Outline: A request that two parsers could read differently is rejected
    When a request is framed with <framing>
    Then it is refused

    Examples:
      | framing                      |
      | a length and chunks          |
      | two equal lengths            |
      | two different lengths        |
      | a signed length              |
      | a list of lengths            |
      | chunks twice                 |
      | an unknown coding            |
      | chunks in HTTP/1.0           |
      | a folded header              |
      | a space before the colon     |
      | a bare line feed             |
      | a bare carriage return       |
      | no colon                     |
      | a bad chunk size             |
      | a chunk without its end      |
      | another version              |
      | a full address as its target |
      | a control character          |
      | two hosts                    |
      | no host                      |
      | two ids                      |
      | no id                        |
      | a bad deadline               |
      | bad token counts             |

  Scenario: A truncated response is never taken as complete
    When any responses are truncated at any byte, by an orderly close or a reset
    Then none of them is taken as complete, and none of their connections is reused

  Scenario: Arbitrary bytes from a replica are a failure or the response to this request
    When any bytes arrive instead of a response
    Then each is a failure, or a complete response with the id of the request

  Scenario: Events of a stream are split correctly in whatever pieces it arrives
    When any streams of events arrive in any pieces
    Then the events are those that were sent, and the remainder is an incomplete event

  Scenario: The head of a response is read alike by all clients
    When the head of a response has any lines
    Then the strict client reads the same fields as a connection to a replica, or both fail

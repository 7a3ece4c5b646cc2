Feature: Nothing is read in two ways, and nothing that is cut looks whole

  Scenario: A proper request reads the same in any pieces
    When any proper requests arrive in any pieces
    Then each is read as it was sent, and two on one connection stay two

  Scenario: Any request that is taken reaches a replica as what was read
    When any odd requests are read and written for a replica
    Then a strict reader there finds the same method, path, body and id, and one request

  Scenario Outline: A request that two readers could read differently is refused
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

  Scenario: An answer that is cut anywhere is never whole
    When any answers are cut at any byte, in order or with a reset
    Then none of them is whole, and none of their connections is used again

  Scenario: Any bytes from a replica are an answer of the request's own or a failure
    When any bytes come instead of an answer
    Then each is a failure, or a whole answer that names the request

  Scenario: Events come whole in any pieces
    When any streams of events arrive in any pieces
    Then the events are those that were sent, and what is left has no end

Feature: Another router witnesses how many tokens a router may use

  Scenario: A ceiling that was not accepted is sent again, and does not count before
    Given a router with one peer
    When the first notices to the peer are lost
    Then the ceiling counts as soon as a repeated notice is answered

  Scenario: A later session of a witness does not replace it
    Given a router with one peer
    When the peer answers with another session
    Then the router has no ceiling, and is notified of the lost witness

  Scenario: An unresponsive witness is replaced
    Given a router with two peers
    When the chosen peer does not answer
    Then the other peer becomes its witness

  Scenario: A closed session's ceilings are final
    Given a registry that holds a session's ceilings
    When the session is closed
    Then no more ceilings are accepted from it, and its ceilings are unchanged
    And a full registry accepts no new session

  Scenario: A message that fails in its handler does not block later ones
    Given a datagram port whose handler fails on the first message
    When two messages are sent to it
    Then the second message is handled

  Scenario: A router without a configuration answers its peers
    Given a gateway whose store does not respond
    When a peer asks it for tokens and sends it ceilings
    Then it refuses the loan, and accepts the ceilings

  Scenario: Lent tokens arrive later if the replies were lost
    Given a router that asks its primary for 500 tokens
    When the primary has served it, and all replies are lost until the request times out
    Then the router queries the outcome, and receives the tokens once

  Scenario: A request that arrives after the query for its outcome is not served
    Given a lender with tokens
    When a router queries the outcome of a request that only arrives afterwards
    Then the lender lends nothing

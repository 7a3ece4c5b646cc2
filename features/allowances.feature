Feature: The sum of all allowances never exceeds the prepaid tokens

  Scenario: No sequence of events leads to overspending
    Given routers that spend from one account through a store that loses responses
    When these events occur in any order
    Then the tokens that all routers used or may still use never exceed the limit
    And they do not exceed it in long histories with few kinds of faults either
    And tokens that are known to be unused become available again

  Scenario: Nothing is overspent when the store is restored from copies of itself
    Given routers that spend from one account through a store that is restored from copies
    Then no history overspends if no router terminates in the lost period
    And no history overspends if one router terminates in the lost period and its witness survives
    And some history overspends if nothing is written again

  Scenario: A restarted router does not report at once that the store contains what its previous run drew
    Given a router that sees the store's history for the first time
    Then it reports the store as complete a second later, and one that ran before does so at once

  Scenario Outline: A settlement repeated after a lost response is counted once
    Given a router that <got> tokens and did not use all of them
    When it settles its accounts and the response is lost
    Then the document counts at least the used tokens

    Examples:
      | got      |
      | drew     |
      | borrowed |

  Scenario: A delayed write does not raise an allowance that was lowered
    Given a router whose unanswered write takes effect later
    When it then lowers its allowance and another router takes the rest
    Then the condition of the delayed write fails

  Scenario: Each safety rule of allowances is necessary
    When events that a rule protects against occur with and without the rule
    Then nothing is overspent with the rules, and something is without each of them

  Scenario: An account removed from the configuration is written again like the others
    Given a router that drew tokens of an account that was removed from the configuration
    When the store is restored from an earlier copy
    Then the store contains the drawn tokens, and all routers report it as complete

  Scenario: Documents survive encoding, and surplus old sessions are closed
    When any documents are encoded and decoded
    Then they are unchanged, and closing old sessions loses no committed token

  Scenario: A router that has settled its accounts lends nothing more
    Given a router that receives a late response to its draw from the store
    When it settles its accounts before the response arrives, and is then asked for tokens
    Then it lends none, and accepts no repayment

  Scenario: A reduced limit binds routers that have not yet received it
    Given two routers that draw for themselves, one of which received a reduced limit
    When the other router draws as much as it can
    Then both together hold at most the reduced limit

  Scenario: A request for a negative loan is refused
    Given a router that drew tokens
    When another router asks it for a negative amount
    Then it refuses, and its balance is unchanged

  Scenario: A request that has become covered triggers no loan
    Given a router whose small request waits behind a large one
    When the large request is abandoned and the router requests tokens again
    Then the small request is granted, and no negative loan was requested

  Scenario: The reserve is available while the store is down
    Given a router that drew a reserve, and a store that is down
    When a call to the store has failed and requests continue
    Then all tokens that the router holds can be used, and its witness accepted them

  Scenario: A router that discarded its document reads it again
    Given a router that drew a reserve, and a store that is down
    When the store is back and another router requests a loan for its reserve
    Then the router has read its document again

  Scenario: A failed call to the store does not refuse requests that held tokens cover
    Given a router that drew a reserve, and a store that is down
    When borrowers wait for its witness while a call to the store fails
    Then borrowers covered by held tokens keep waiting, and the others are refused

  Scenario: A router that is not the primary does not borrow to fill another router's reserve
    Given two routers that each consider the other the primary
    When one of them requests tokens ahead of its needs
    Then exactly one loan is requested

  Scenario: A lowered allowance is also lowered in the store if another write comes first
    Given a primary router that holds a reserve, and is replaced as the primary
    When another session writes the account's document just before it
    Then the document contains the lowered allowance

  Scenario: Tokens held by other sessions are borrowed before a request is refused as exhausted
    Given a router that holds most of an account, and is no longer its primary
    When the new primary is asked for more than the unallocated tokens
    Then it serves the request with the first router's tokens, and overspends nothing

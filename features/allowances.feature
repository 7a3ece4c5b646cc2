Feature: Allowances never add up to more than was prepaid

  Scenario: No order of events overspends
    Given routers that spend from one account through a store that loses answers
    When any of these events come in any order
    Then what all of them used or may still use never exceeds the limit
    And nor does it in long histories of few kinds of faults
    And what is known to be unused can be had again

  Scenario: Nothing is overspent while the store comes back from copies of itself
    Given routers that spend from one account through a store that comes back from copies
    Then no history without deaths in the lost time overspends
    And none overspends where one router dies in the lost time and its witness lives
    And one overspends where nothing is written again

  Scenario: A run that has just begun does not say that the store holds what the one before drew
    Given a router that hears of the store's history for the first time
    Then it says that the store holds all it knows a second later, and one that was there at once

  Scenario Outline: Settling again after a lost answer counts nothing twice
    Given a router that <got> tokens and did not use all of them
    When it settles for good and the answer to that is lost
    Then the document counts what was used, and no less

    Examples:
      | got      |
      | drew     |
      | borrowed |

  Scenario: A late write does not raise what was lowered
    Given a router whose write without an answer is done later
    When it lowers its allowance after that and another router takes the rest
    Then the late write finds its condition broken

  Scenario: Each protective rule of allowances is needed
    When events come that a rule protects from, with the rule and without it
    Then nothing breaks with the rules, and something does without each

  Scenario: An account that is configured no more is written again as the others are
    Given a router that drew tokens of an account which is configured no more
    When the store comes back from a copy of before
    Then the store holds what was drawn, and all routers say that it holds what they know

  Scenario: Documents survive their stored form, and old sessions are folded
    When any documents are written to their stored form and read again
    Then they are as they were, and folding loses no committed token

  Scenario: A router that has settled its accounts gives nothing more
    Given a router whose draw from the store is answered late
    When it settles for good before the answer comes, and is asked for tokens after it
    Then it gives none, and takes none back

  Scenario: A limit that was cut binds those that have not heard of it
    Given two routers that draw for themselves, and a limit that one of them heard was cut
    When the one that has not heard draws as much as it may
    Then both together hold no more than the lower limit

  Scenario: A loan that asks for less than nothing is refused
    Given a router that drew tokens
    When another router asks it for a negative amount
    Then it refuses, and holds what it held

  Scenario: A request that is covered by now asks nobody for tokens
    Given a router whose small request waits behind a large one
    When the large one is given up and the router looks for tokens again
    Then the small one is granted, and no loan of less than nothing was asked for

  Scenario: A reserve is there for the time when the store is away
    Given a router that drew a reserve, and a store that went away
    When a call to the store has failed and requests go on
    Then all that the router holds is used, as far as its witness hears of it

  Scenario: A router that lost sight of its document looks at it again
    Given a router that drew a reserve, and a store that went away
    When the store is back and another router asks for a loan ahead of its needs
    Then the router knows its document again

  Scenario: A failed call to the store refuses nothing that the router holds
    Given a router that drew a reserve, and a store that went away
    When borrowers wait for its witness while a call to the store fails
    Then those that it holds tokens for go on waiting, and the others are refused

  Scenario: A router that is not the primary gets nothing on behalf of one that stocks up
    Given two routers that take each other for the primary
    When one of them stocks up
    Then no more than one loan is asked for

  Scenario: An allowance that is lowered is lowered in the store, also where another write comes first
    Given a primary router that holds a reserve, and hands its part over to another one
    When another session writes the account's document just before it does
    Then the document allows it no more than it uses any more

  Scenario: What another session holds of a spent account is asked for before a request is refused
    Given a router that holds most of an account, and is not its primary any more
    When the new primary is asked for more than nobody holds
    Then it serves the request with what the first one holds, and overspends nothing

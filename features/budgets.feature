Feature: Budgets are never overspent and every request is billed exactly once

  Scenario: No order of events overspends a budget or bills twice
    Given routers, stewards, agents and a store that lose replies, pause and crash
    When any events occur in any order
    Then actual spending never exceeds the limit
    And the amount settled in the end equals the amount spent

  Scenario Outline: Each safety rule is necessary
    When events occur that the rule "<rule>" protects against
    Then the invariants hold with the rule and are violated without it

    Examples:
      | rule                       |
      | limit checked in one write |
      | fence before recovery      |
      | upper bound reserved       |
      | settled blocks skipped     |

  Scenario: A steward that resumes after its tenure was closed can't overspend
    Given a budget of 1000 held in part by a steward that pauses
    When its tenure is fenced, recovered and closed, and it resumes and lends again
    Then agents refuse to start requests paid by its money
    And its next write is rejected because its tenure is closed

  Scenario: A steward returns its money after the limit is lowered
    Given a budget of 1000 held in part by a steward that pauses
    When an operator lowers the limit to 0
    Then the steward's next write returns everything that is not lent

  Scenario: A write whose reply was lost is not applied twice
    Given a budget of 1000 in a store that loses the next reply
    When an operator raises the limit to 1500
    Then the limit is 1500 and the history has one change to it

  Scenario: Two operators change one limit concurrently
    Given a budget of 1000 in a store that loses the next reply
    When two operators who both saw 1000 set 1500 and 700
    Then one of them gets a conflict that shows the present limit

  Scenario: A budget that another operator changed is not removed without a conflict
    Given a budget of 1000 in a store that loses the next reply
    When one operator who saw 1000 sets 1500 and another who saw 1000 removes it
    Then one of them gets a conflict that shows the present limit

  Scenario: Requests to an exhausted budget cause no writes
    Given a budget of 1000 that is spent
    When 100 more requests ask for money within a second
    Then they are refused as exhausted with at most 2 reads and no write

  Scenario: Escrow falsely refuses far fewer requests than a static split
    When the budget experiments run for a short time
    Then no design overspends
    And escrow falsely refuses at most a fifth as many requests as a static split when a region is partitioned

  Scenario: The invoice lists every itemised call, also after older ones are archived
    Given a shard of an itemised service in a store that sometimes loses replies
    When 1300 calls are settled in many writes
    Then the invoice lists each of them once

  Scenario: Agents keep the records of blocks that another steward has yet to settle
    Given a dead router that had blocks from two stewards
    When one of the two settles the blocks that it had lent
    Then agents are told to delete the records of its blocks and not of the other's

Feature: Budgets are never overrun and every request is billed once

  Scenario: No order of events overspends a budget or bills twice
    Given routers, stewards, agents and a store that lose answers, pause and die
    When any events come in any order
    Then true spending never exceeds the limit
    And what is settled in the end is what was spent

  Scenario Outline: Each protective rule is needed
    When events come that the rule "<rule>" protects from
    Then nothing breaks with the rule, and something does without it

    Examples:
      | rule                       |
      | limit checked in one write |
      | fence before recovery      |
      | upper bound reserved       |
      | settled blocks skipped     |

  Scenario: A paused steward that comes back does no harm
    Given a budget of 1000 held in part by a steward that pauses
    When its tenure is fenced, recovered and closed, and it wakes and lends again
    Then agents refuse to start work under its money
    And its next write finds that its tenure is closed

  Scenario: A lowered limit drains
    Given a budget of 1000 held in part by a steward that pauses
    When an operator lowers the limit to 0
    Then the steward's next write returns everything that is not lent

  Scenario: A write whose answer was lost is not done twice
    Given a budget of 1000 in a store that loses the next answer
    When an operator raises the limit to 1500
    Then the limit is 1500 and the history has one such change

  Scenario: Two operators race on one limit
    Given a budget of 1000 in a store that loses the next answer
    When two operators who both saw 1000 set 1500 and 700
    Then one of them gets a conflict that shows the present limit

  Scenario: A budget that someone else has changed is not removed unseen
    Given a budget of 1000 in a store that loses the next answer
    When one operator who saw 1000 sets 1500 and another who saw 1000 removes it
    Then one of them gets a conflict that shows the present limit

  Scenario: A budget that is spent costs no writes
    Given a budget of 1000 that is spent
    When 100 more requests ask for money within a second
    Then they are refused as exhausted with at most 2 reads and no write

  Scenario: Ours refuses far fewer than the baselines
    When the budget experiments run for a short time
    Then no design overspends
    And ours falsely refuses at most a fifth of what a static split does when a region is cut

  Scenario: Itemised calls stay on the invoice however many there are
    Given a shard of an itemised service in a store that fails now and then
    When 1300 calls are settled in many writes
    Then the invoice lists each of them once

  Scenario: Agents keep the records of blocks that someone else has still to settle
    Given a dead router that had borrowed from two stewards
    When one of the two settles what it had lent
    Then agents are told to forget its blocks and not the other's

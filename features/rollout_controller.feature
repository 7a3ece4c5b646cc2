Feature: A router applies orders, documents and reports of rollouts in whatever order they arrive

  # If the deadline of an earlier attempt applied, a new attempt would be rolled back at once.
  Scenario: A report of a new attempt arrives before its document
    Given a router that decides, and an attempt that began 20 s ago with a duration of 10 s
    When a new order, a report on its attempt and the document of that attempt arrive
    Then the router does not end the new attempt before 10 s have passed

  # A router that took the later document for lost would write it again, and decide nothing until then.
  Scenario: A write is confirmed after the next document has been received
    Given a router that has received the document with number 6
    When its own write of the document with number 5 is confirmed
    Then it knows that the store holds the document with number 6

  # Each change of the share begins a step, and each judgement compares all steps that are kept.
  Scenario: A share that changes all the time does not make the evidence grow without limit
    Given evidence of a rollout whose share changes 1000 times
    Then a judgement compares at most 64 earlier steps

  # A router that hears only from leaders of an earlier build never learns of a rollback.
  Scenario Outline: Only leaders that receive the documents confirm that they are current
    Given a router that hears of a leader that <follows> the documents and reaches the store
    Then the documents count as <state>

    Examples:
      | follows         | state       |
      | receives        | confirmed   |
      | does not follow | unconfirmed |

  # The responses to a router that had died were in the document, but in no report: the share stayed
  # until the others had received more than all together before.
  Scenario: A new decider raises the share after responses that it knows
    Given reports with 30 target responses of two routers, and a document that states 60
    When this router decides, and one more target response is reported
    Then the share may be raised after that response, and not before

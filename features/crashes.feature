Feature: A request that ends the replicas which run it is not sent on for ever

  Scenario: The log tells a replica that has ended from one that only lost an answer
    Given a gateway before four portal replicas
    When a receipt ends its replica, and another one's answer is lost
    Then one line tells which replica ended under which request, and none of the other

  Scenario: Requests are the same where account, path, query and body are
    Given requests of two accounts with paths and bodies of any kind
    Then two have the same id just where all of these are equal

Feature: What requests lost their worth by is told from routers' logs

  Scenario: Losses are counted by reason, and tokens are stated as parts of their limit
    Given logs of two routers with requests served, late, refused and cut
    When the losses are asked for
    Then each reason has its count, by account and by replica
    And the account's tokens are spent, reserved, idle, held by nobody or lost, and nothing else

  Scenario: A log without lines is told as such
    Given a file that holds no line of a router
    When the losses are asked for
    Then the command names the fault and prints no report

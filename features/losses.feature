Feature: What requests lost their worth by is told from routers' logs

  Scenario: Losses are counted by reason, and tokens are stated as parts of their limit
    Given logs of two routers with requests served, late, refused and cut
    When the losses are asked for
    Then each reason has its count, by account and by replica
    And the calls to the store are those that each session told last
    And the account's tokens are spent, reserved, idle, held by nobody or lost, and nothing else

  Scenario: A log without lines is told as such
    Given a file that holds no line of a router
    When the losses are asked for
    Then the command names the fault and prints no report

  Scenario Outline: The cause of one request's end is one sentence
    Given logs of two routers with requests served, late, refused and cut
    When the cause of <request> is asked for
    Then it says <what>

    Examples:
      | request   | what                                                                     |
      | paused    | a pause of 301 ms, its aim is 300 ms; at i-1 beside it: none             |
      | late      | begun after 1001 ms, its aim is 1000 ms                                  |
      | exhausted | of its 10000 tokens 12% were spent, 5% reserved by requests in progress  |
      | cut       | reset by i-2 (router b, replica i-2)                                     |
      | served    | served in time by a                                                      |

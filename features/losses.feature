Feature: A report from routers' logs shows why requests failed or were late

  Scenario: Losses are counted by reason, and the token states add up to the limit
    Given logs of two routers with requests served, late, refused and cut
    When the loss report is requested
    Then each reason is counted by account and by replica
    And the store calls are the sum of what each session logged last
    And the account's spent, reserved, idle, unallocated and lost tokens add up to its limit

  Scenario: A log without router lines is an error
    Given a file without any line of a router
    When the loss report is requested
    Then the command reports the error and prints no report

  Scenario Outline: The reason for one request's end is one sentence
    Given logs of two routers with requests served, late, refused and cut
    When the reason for the end of <request> is requested
    Then the output ends with a line that contains <text>

    Examples:
      | request   | text                                                                              |
      | paused    | a pause of 301 ms, the target is 300 ms; long prompts sent to i-1 meanwhile: none |
      | late      | started after 1001 ms, the target is 1000 ms                                      |
      | exhausted | of its 10000 tokens 12% were spent, 5% reserved by requests in progress           |
      | cut       | reset by i-2 (router b, replica i-2)                                              |
      | served    | served in time by a                                                               |

Feature: Repeats of the whole fleet stay within its budget

  Scenario: In every sliding window, with routers that start again
    Given routers that share a retry budget
    When requests and failures come in any order, and routers start again
    Then in no window are there more repeats than the ratio of the requests and the slack

  Scenario: A router that goes on may use its share
    Given routers that share a retry budget
    When one of them has run for a window and all its requests fail
    Then it may repeat as often as its share allows

  Scenario: Routers that start again three times in a window stay within it
    Given routers that share a retry budget
    When all of them use their share and start again three times in one window
    Then in no window are there more repeats than the ratio of the requests and the slack

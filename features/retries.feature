Feature: Retries of the whole fleet stay within its budget

  Scenario: The budget holds in every sliding window if routers restart
    Given routers that share a retry budget
    When requests and failures occur in any order, and routers restart
    Then in no window are there more retries than the ratio of the requests plus the slack

  Scenario: A router that keeps running may use its share
    Given routers that share a retry budget
    When one of them has run for a window and all its requests fail
    Then it may retry as often as its share allows

  Scenario: Routers that restart three times in a window stay within the budget
    Given routers that share a retry budget
    When all of them use their share and restart three times in one window
    Then in no window are there more retries than the ratio of the requests plus the slack

  # Routers that had just started, while the store did not respond to their writes, were not aware of
  # each other, and each used the whole slack. Four routers that started twice within two seconds made
  # 92 retries for 108 requests, 16 more than allowed, and logged
  #   retry.decided allowed_since=7 refused_since=2 share=7.8 requests=9 routers=1
  # With the other routers known they made 52 retries, 24 fewer than allowed, and logged
  #   retry.decided allowed_since=2 refused_since=7 share=2.1 requests=9 routers=4
  # In both cases each start also began with an unused share.
  Scenario: Routers that restart without the router count stay within the budget
    Given routers that share a retry budget
    When all use their share and restart twice in one window without receiving the router count
    Then in no window are there more retries than the ratio of the requests plus the slack

  Scenario: Routers that restart twenty times in a window stay within the budget
    Given routers that share a retry budget
    When all of them restart twenty times in one window, and all requests fail
    Then in no window are there more retries than the ratio of the requests plus the slack

  # A retry is allowed before its connection is opened. If the router pauses in between, or the
  # replica reads late, the retry arrives in a later window, in which new retries are allowed: with
  # one share used at the end of a window and another at the start of the next, replicas received two
  # shares within one window.
  Scenario: Retries that arrive late count for a window after their arrival
    Given routers that share a retry budget
    When all use their share, the retries arrive 4 seconds late, and all use it again as soon as allowed
    Then in no window are there more retries than the ratio of the requests plus the slack

  Scenario: The budget holds for any known router counts and any delay of retries
    Given routers that share a retry budget
    Then no sequence of requests, late arrivals, crashes, starts and stops exceeds the budget

  # A machine may be suspended for seconds between the decision on a retry and its sending.
  Scenario: The budget holds for any known router counts and any suspension of machines
    Given routers that share a retry budget
    Then no sequence of requests, late arrivals, crashes, starts, stops and suspensions exceeds the budget

  # Its retries arrive later than the other routers assume.
  Scenario: The budget holds if a router is suspended after it has stopped
    Given routers that share a retry budget
    When a router is suspended after it has stopped with retries in flight
    Then in no window are there more retries than the ratio of the requests plus the slack

  # The new process counted the suspension as time in which all earlier retries had arrived.
  Scenario: The budget holds if a machine is suspended after its router has restarted
    Given routers that share a retry budget
    When a machine is suspended after its router has restarted with retries in flight
    Then in no window are there more retries than the ratio of the requests plus the slack

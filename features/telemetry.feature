Feature: Logs and metrics explain a failure afterwards

  Scenario: An unread log does not block requests
    Given a gateway whose standard output is not read
    When more lines are logged than fit into the pipe and the queue
    Then every request succeeds, and the dropped lines are counted

  Scenario: The number of dropped lines is logged once there is room
    Given a log with a queue of 5 lines
    When 20 lines are logged before any is written
    Then 5 lines are written, and one that reports 15 dropped lines

  Scenario: Every request has one log line with the reasons for its outcome
    Given a gateway with two replicas per service
    When requests are answered, refused, retried and abandoned by their clients
    Then each has one line with its id, outcome, attempts and configuration version
    And no line holds a key, a body or a prompt

  Scenario: Metrics can be scraped
    Given a gateway with one replica per service
    When some requests are answered and refused
    Then the metrics count them by outcome and show the version in force

  Scenario: The trace of one request is assembled from the logs of several machines
    Given logs of two routers in which one request was tried at both
    When its trace is requested
    Then the command prints both ends in order, and the routers' state at that time

  Scenario: The decisions on retries are logged with their inputs
    Given a gateway with two replicas per service
    When receipts are requested and every replica refuses them
    Then a line reports the allowed and refused retries, the retry share and the router count
    And each request's line reports the decision on its own retry

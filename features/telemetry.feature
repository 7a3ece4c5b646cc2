Feature: A failure can be explained afterwards

  Scenario: A log that nobody reads holds no request
    Given a gateway whose standard output nobody reads
    When more lines are logged than the pipe and the queue hold
    Then every request is answered, and the dropped lines are counted

  Scenario: Dropped lines are told once there is room
    Given a log with room for 5 lines
    When 20 lines are logged before any is written
    Then 5 lines are written, and one that 15 were dropped

  Scenario: Every request has one line that tells what decided
    Given a gateway with two replicas per service
    When requests are answered, refused, repeated and left by their callers
    Then each has one line with its id, outcome, attempts and version
    And no line holds a key, a body or a prompt

  Scenario: Figures can be scraped
    Given a gateway with one replica per service
    When some requests are answered and refused
    Then the figures count them by outcome and tell the version in force

  Scenario: One request's story is put together from the logs of several machines
    Given logs of two routers in which one request was tried at both
    When its story is asked for
    Then the command prints both ends in order, and what was believed at that time

  Scenario: The decisions on repeats are told with what they went by
    Given a gateway with two replicas per service
    When receipts are asked for and every replica refuses them
    Then a line tells how many repeats were allowed and refused, the share and the routers
    And each request's line tells the decision on its own repeat

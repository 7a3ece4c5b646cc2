Feature: Planned work on gateways leaves no accepted request without an answer

  Scenario Outline: Requests that end without an answer are judged by how they ended
    When a request that was <passed on> ends without an answer <after> s after its last byte
    Then it is judged "<verdict>"

    # Those not passed on may end within 200 ms, and none counts from its deadline of 4 s on.
    Examples:
      | passed on     | after | verdict           |
      | passed on     | 0.05  | lost              |
      | passed on     | 3.9   | lost              |
      | passed on     | 4.1   | past its deadline |
      | not passed on | 0.15  | not passed on     |
      | not passed on | 0.25  | lost              |
      | not passed on | 4.1   | past its deadline |

  Scenario Outline: Requests that are cut in a planned stop of 8 s are judged by their replica
    When a request is sent <sent> s and cut <cut> s after SIGTERM, and its replica works until <until> s
    Then it is judged "<verdict>"

    # The last sixth begins 6.67 s after SIGTERM; only requests sent within 3 s may be cut then.
    Examples:
      | sent | cut | until | verdict     |
      | 2.9  | 6.8 | 6.8   | cut at work |
      | 3.1  | 6.8 | 6.8   | lost        |
      | 2.9  | 6.6 | 6.6   | lost        |
      | 2.9  | 6.8 | 6.0   | lost        |

  Scenario: A request that is cut late in a stop of another gateway is lost
    When a request is cut late in a planned stop of another gateway
    Then it is judged "lost"

  Scenario: A request that was answered is not lost
    When a request that was passed on is answered
    Then it is judged "answered"

  Scenario: A request that was not sent completely is not lost
    When a request ends before its last byte was sent
    Then it is judged "not sent completely"

  Scenario: Gateways that fail, or that a planned stop does not end, are found
    When planned stops end with code 0, with code 1 and with a kill, and a gateway fails
    Then the last three are found

  Scenario: The planned work of a run is determined by its seed
    Then two draws of planned work with one seed are equal, and 20 seeds contain every kind of it

  Scenario: A short run of planned work loses no request
    When the planned work of seed 33 is run for 10 seconds on 2 gateways
    Then no request is lost, and each stop ended within its grace period with code 0
    And requests were answered during the planned work

Feature: Another router decides on a rollout as soon as the deciding process has ended

  # A dead decider was noticed 0.8 s after its end, of the 1.3 s that a ramp may last.
  Scenario Outline: A router notices at once that the process of a decider has ended
    Given a router that watches a decider
    When the decider <event>
    Then it is <found>, and <connections>

    Examples:
      | event                          | found              | connections                   |
      | ends                           | found to have ended | it is not connected to again |
      | closes its connections         | not reported       | it is connected to again      |
      | does not respond               | not reported       | the connection stays          |
      | does not decide any more       | not reported       | the connection is closed      |

  Scenario: A router connects to no decider while no rollout is running
    Given a router that watches a decider
    When the rollout ends
    Then it is not reported, and the connection is closed

  # Its status counted as that of a living leader for 1 s, and its reports were awaited for 3 s.
  Scenario Outline: A router whose process has ended neither decides nor is its report awaited
    Given a fleet of three routers of which one decides
    When its process is found to have ended
    Then another router decides, and only the reports of the living ones are awaited
    And it still counts among the routers that share bounds
    When it <comes back>
    Then it takes part again

    Examples:
      | comes back                                          |
      | starts again                                        |
      | still sends status messages 1.1 s after that        |

  Scenario: A leader whose process has ended is replaced at once
    Given 12 routers in 3 failure domains that start together
    And they have exchanged status messages for 2 seconds
    When all others find that the process of one leader has ended
    Then its failure domain is led by another router within 700 milliseconds

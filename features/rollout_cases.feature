Feature: Rollouts keep their bounds and end correctly with real gateways

  # Guards against a bad version that gets more requests than the bounds allow, or that is
  # completed, and against a good version that is not completed in time. The bounds are those of
  # docs/design/rollouts-and-regions.md. The remaining cases are played by hand, for their time:
  # python features/steps/rollout_cases.py all

  Scenario Outline: <case>
    When the rollout case "<case>" is played
    Then the bounds are kept, and the end state is "<end>"

    Examples:
      | case                      | end         |
      | good                      | completed   |
      | 500s                      | rolled_back |
      | silence                   | rolled_back |
      | slow first token          | rolled_back |
      | one route                 | rolled_back |
      | store away                | rolled_back |
      | 5 requests a second       | rolled_back |
      | 5 requests a second, good | completed   |

  # Guards against an attempt that depends on one router.
  Scenario: The deciding router is killed after each step
    When the rollout case "decider killed at each step" is played
    Then the bounds are kept, and the end state is "completed"

Feature: The core protocol is proved on a small specification, and the code follows it

  Scenario Outline: The <model> model holds by induction
    When the <model> model is checked
    Then every property is proved by induction

    Examples:
      | model    |
      | money    |
      | claims   |
      | versions |

  Scenario Outline: Without "<rule>" the model violates a property, and the code does not
    When the money model is searched without "<rule>"
    Then it has a counterexample
    And the code, run through the same transitions, stays within the budget

    Examples:
      | rule                               |
      | epoch and revision at the store    |
      | deadline at the agent              |
      | upper-bound reservation            |
      | operation id                       |
      | settled blocks are known           |
      | recovery waits for running requests |

  Scenario Outline: Without "<rule>" a call can run twice
    When the claims model is searched without "<rule>"
    Then it has a counterexample

    Examples:
      | rule                               |
      | birth-time rule                    |
      | fence at the agent                 |
      | ticket's time at the agent         |
      | births from the future are refused |

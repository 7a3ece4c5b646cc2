Feature: The fleet serves, bills and survives

  Scenario: Answers come whole and are billed once
    Given a fleet with a model and a plain service
    When a completion, a stream and a file are asked for
    Then each answer is what the upstream gave, bit for bit
    And in the end the store has billed each once

  Scenario: A caller whose router dies gets the running answer from another one
    Given a fleet with a model and a plain service
    When a router dies during a stream with a key and the caller retries elsewhere
    Then the retry gets the whole answer
    And the engine ran it once
    And in the end the store has billed each once

  Scenario: A receipt is issued once however often it is asked for
    Given a fleet with a model and a plain service
    When a receipt is asked for with one key through every router at once
    Then every answer is the same receipt and it ran once
    And in the end the store has billed each once

  Scenario: A planned stop of a router cuts none of 50 open streams
    Given a fleet with a model and a plain service
    When a router with 50 open streams is stopped as planned
    Then all 50 answers are whole and the stop was complete
    And in the end the store has billed each once

  Scenario: A planned stop of an agent cuts nothing and gets no new work
    Given a fleet with a model and a plain service
    When an agent with open streams is stopped as planned
    Then its answers are whole and later requests run elsewhere

  Scenario: Money that is held goes on while the store is down
    Given a fleet with a model and a plain service
    When the store goes down after some requests and more come
    Then all of them are answered
    And in the end the store has billed each once

  Scenario: An idle router gives its blocks back
    Given a fleet whose blocks are never old, only idle
    When a completion, a stream and a file are asked for
    Then in the end the store has billed each once

  Scenario: A caller that goes away cancels the run
    Given a fleet with a model and a plain service
    When a caller reads one token of a long stream and goes away
    Then the engine's run is cancelled

  Scenario: A budget that is spent refuses, and a top-up is in force soon
    Given a fleet with a model and a plain service
    When a small budget is spent and then topped up
    Then the refusal before was budget_exhausted and not_run, and an answer comes after

  Scenario Outline: A wrong request is refused with its kind
    Given a fleet with a model and a plain service
    When a <wrong> request is sent
    Then it is refused with status <status> and code <code>

    Examples:
      | wrong           | status | code            |
      | keyless         | 401    | unauthenticated |
      | unknown service | 404    | not_found       |
      | broken JSON     | 400    | bad_request     |
      | receipt unkeyed | 400    | bad_request     |
      | bad key         | 400    | bad_request     |

  Scenario: Two operators who edit the table over HTTP never lose an edit silently
    Given a fleet with a model and a plain service
    When two editors who read the same table send different ones, and a reader sends one
    Then the first is accepted, the second gets a conflict that shows the change, the reader is refused
    And the accepted edit is in force in every router

  Scenario: A region that is cut off spends only what it holds, and all adds up afterwards
    Given a fleet in two regions that share a small budget
    When one region is cut off and both spend until they are refused
    Then together they spent no more than the budget
    And after the cut the budget's last credits can be spent and the bill is what was delivered

  Scenario: An upstream's agent that dies takes its open answers along, and nothing else
    Given a fleet with a model and a plain service
    When an agent dies while it streams to ten callers
    Then no caller gets a cut answer as a whole one, and later requests run elsewhere

  Scenario Outline: The bill of a router that dies is found out from the agents
    Given a fleet with a model and a plain service
    When a router that is <role> of the budget dies after ten calls
    Then in the end the store has billed each once
    And no dead session holds money

    Examples:
      | role         |
      | the steward  |
      | no steward   |

  Scenario: A lost attempt is not called not_run because the next one was refused
    Given a fleet with a model and a plain service
    When the only agent of a service dies unseen and a call is made at once
    Then the call's run state is unknown

  Scenario: A steward that is stopped as planned gets its blocks back from the others
    Given a fleet whose blocks are neither old nor idle for long
    When every router has spent from one budget and its steward is stopped as planned
    Then the stop was complete and its session holds nothing
    And in the end the store has billed each once

Feature: Prompt segments that crash replicas are detected and refused

  # Requests of different content had one segment in common, under which each replica ended that
  # began to respond. Crashes were counted by the whole request.
  Scenario Outline: A prompt segment that has crashed replicas is stopped on all routers
    Given four gateways before eight engine replicas that a prompt segment crashes
    When sound streams share an account and segments with streams that have it <place>, and <failure>
    Then at most three streams with it reach a replica later than 2 s after the fifth crash
    And from 4 s after it on, sound streams begin at least half as often as before

    Examples:
      | place         | failure                                           |
      | first         | nothing else fails                                |
      | in the middle | nothing else fails                                |
      | in the middle | the gateway that sent one is killed at each crash |
      | in the middle | all gateways are killed after the third crash     |
      | in the middle | the store is away for 3 s from the first crash on |

  Scenario Outline: Few sends follow the fifth crash, whichever messages routers receive
    Given <routers> routers that share the records of a store
    Then no order of events lets a crashing segment exceed the limit or refuses most sound streams

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 100     |
      | 760     |

Feature: What replicas get beyond the first arrival of each request stays within the fleet's budget

  Scenario: Routers that hear of nobody start again while every replica refuses
    Given four gateways that hear of nobody, before replicas that refuse every request
    When they are pressed, killed and started again three times, and the store loses the answers
    Then in no window did the replicas get more repeats than the fleet may make

  Scenario: A router that knows its fleet for a window repeats again
    Given four gateways that share repeats in windows of 2 s, before replicas that refuse
    When they are killed and started again, and the store answers
    Then repeats arrive again, and in no window more than the fleet may make

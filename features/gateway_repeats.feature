Feature: Retries that arrive at replicas stay within the fleet's budget

  Scenario: Routers without contact to each other restart while every replica refuses
    Given four gateways without contact to each other, with replicas that refuse every request
    When they receive requests and are killed and restarted three times, and the store loses its responses
    Then in no window did the replicas receive more retries than the fleet's budget allows

  Scenario: A router that has known the router count for a window retries again
    Given four gateways that share a retry budget in windows of 2 s, with replicas that refuse
    When they are killed and restarted, and the store responds
    Then retries arrive again, and in no window more than the fleet's budget allows

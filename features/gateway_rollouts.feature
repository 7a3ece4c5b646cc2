Feature: A service's traffic is moved to another version, and back if that is bad

  Scenario: A good version is completed before the deadline
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 12 s is ordered under load
    Then the rollout is completed in time, with all responses successful
    And the new version gets all requests afterwards

  # With one decider in each region, each hears only from its region and takes over from the other:
  # no share is raised, and a good version is rolled back at the deadline.
  Scenario: One router decides for all regions
    Given two gateways with rollouts in two regions, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 12 s is ordered under load
    Then the rollout is completed in time, with all responses successful
    And one router decides on it, and the other never does

  Scenario: A version that responds with errors is rolled back
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    And all requests to version "v2" fail
    When a rollout to "v2" within 12 s is ordered under load
    Then the rollout is rolled back
    And the new version got no more requests than the bound allows, and gets none afterwards

  # configuration_ms is 2 s by default; until then an order may still be on its way to a router.
  Scenario: A version that appears without an order gets few requests at first
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When version "v2" is listed without an order under load
    Then it gets few requests for 1.5 s, and its share of them later

  Scenario: With rollouts disabled an order has no effect
    Given two gateways without rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 3 s is ordered under load
    Then no router writes a status, follows documents or logs a line on rollouts

  Scenario: A rollout whose order is withdrawn is rolled back
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 60 s is ordered under load
    And the new version gets requests and the order is withdrawn
    Then the rollout is rolled back
    And the new version gets no requests any more

  Scenario: An order for another target replaces a running one
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 60 s is ordered under load
    And the new version gets requests and a rollout to "v3" is ordered
    Then the status names "v3" as running, and "v2" gets no requests any more

  Scenario: Orders that need no requests
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When orders for the version in force, an unknown service and a version without replicas are given
    Then the first is completed at once, and the others are rolled back at the deadline

  # Without the list, the attempt would begin without base versions: a version in force would be
  # completed at the deadline only, and old versions would stay in use after the end of others.
  Scenario: An order that is older than the router is carried out after the replicas were listed
    Given replicas of version "v1", an order for it, and a store that lists replicas after 1 s
    When a gateway with rollouts starts
    Then the rollout is completed at once

  # A malformed order in place of a valid one must not be taken for its withdrawal.
  Scenario: A malformed order is logged once and ignored
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 8 s is ordered under load
    And malformed orders replace the order and are given for another service
    Then the rollout is completed in time, with all responses successful
    And each router logged each malformed order once

  Scenario: An end state survives a store that is restored from an earlier copy
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    And all requests to version "v2" fail
    When a rollout to "v2" within 20 s is ordered, and the store is copied soon
    Then the rollout is rolled back
    And after the store is restored from the copy, the end state is written again
    And the new version gets no requests any more

  Scenario: Another router decides after the decider was killed
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 10 s is ordered under load
    And the new version gets requests and the deciding router is killed
    Then the rollout is completed within its time by the other router

  # The frozen router believes at first that it still decides; its write has to fail.
  Scenario: Another router decides while the decider is frozen
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 10 s is ordered under load
    And the new version gets requests and the deciding router is frozen until the end
    Then the rollout is completed within its time by the other router
    And both routers agree on the end once the frozen one continues

  Scenario: An order that is written again after its end begins a new attempt
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    And all requests to version "v2" fail
    When a rollout to "v2" within 12 s is ordered under load
    Then the rollout is rolled back
    When the version is repaired and the same order is written again
    Then the rollout is completed in time, in a second attempt
    And the same order once more is answered with "completed" at once

  Scenario: A bad version is stopped while the store is down
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 60 s is ordered under load
    And the new version gets requests, the store goes down, and then the version fails
    Then the new version is stopped in time, with few bad responses
    And the rollout is rolled back after the store is back

  Scenario: A router that starts during a rollout knows its state before it is ready
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    And all requests to version "v2" fail
    When a rollout to "v2" within 20 s is ordered under load
    Then the rollout is rolled back
    And a third router never sends to the new version

  Scenario: The trace of a request names the cohort and the rollout
    Given two gateways with rollouts, and replicas of versions "v1" and "v2"
    When a rollout to "v2" within 20 s is ordered under load
    And the new version gets requests
    Then the trace of a request to the new version names its cohort and the step of the rollout

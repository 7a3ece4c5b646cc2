Feature: Rollouts move a service to another version, and a bad version receives few requests

  # With a share for each router instead of the fleet, 760 routers with 5 requests a second would
  # send either nothing or several times the limit to the target.
  Scenario: A version that turns bad at any moment stays within the exposure limit
    Given fleets of 1 to 760 routers with 5 to 1,000 requests a second and rollouts of 12 s to 300 s
    When the version turns bad at any moment, and routers restart, are cut off or receive no orders
    Then the target receives at most its share and slack, and nothing later than allowed after its 50th bad response
    And each attempt has at most one end and its state only moves forward

  Scenario Outline: A good version is completed by the deadline
    Given <routers> routers with <rate> requests a second and a rollout of <duration> s
    When the version is good
    Then it is completed by the deadline, within the exposure limit

    Examples:
      | routers | rate | duration |
      | 4       | 5    | 12       |
      | 4       | 1000 | 12       |
      | 100     | 5    | 12       |
      | 100     | 5    | 300      |
      | 100     | 100  | 30       |
      | 100     | 1000 | 60       |
      | 760     | 5    | 12       |
      | 760     | 5    | 120      |
      | 760     | 200  | 60       |
      | 760     | 1000 | 12       |

  Scenario Outline: A version that fails from the beginning is rolled back
    Given <routers> routers with <rate> requests a second and a rollout of <duration> s
    When the version fails <failing> % of its requests from the beginning
    Then it is rolled back by the deadline, within the exposure limit

    Examples:
      | routers | rate | duration | failing |
      | 4       | 5    | 60       | 50      |
      | 760     | 5    | 60       | 50      |
      | 100     | 100  | 60       | 20      |
      | 760     | 1000 | 30       | 20      |

  # A router that nothing reaches does not learn of the rollback, and its own evidence is too little.
  Scenario: Routers that are cut off stop sending to a version that turns bad
    Given 100 routers with 1000 requests a second and a rollout of 60 s
    When it fails 50 % of its requests from 30 s on, and 60 routers are cut off from 29 s on
    Then it is rolled back by the deadline, within the exposure limit

  Scenario: A good version is completed although the decider dies and the store is away for a while
    Given 100 routers with 100 requests a second and a rollout of 60 s
    When the version is good, the first decider dies after 20 s, and the store is away from 30 s to 40 s
    Then it is completed by the deadline, within the exposure limit

  # After a change of the canary share, the ramp waited for responses under the new one. With a tenth
  # of the requests, there was none until the deadline in 32 of 60 runs.
  Scenario Outline: A good version is completed although the rate of requests changes
    Given 100 routers with 100 requests a second and a rollout of 60 s
    When the version is good, and from 42 s on there are <percent> % of the requests
    Then it is completed by the deadline, within the exposure limit

    Examples:
      | percent |
      | 10      |
      | 50      |
      | 150     |

  Scenario: A target that starts late is completed
    Given 100 routers with 100 requests a second and a rollout of 60 s
    When the version is good, and its replicas are ready after 25 s
    Then it is completed by the deadline, within the exposure limit

  Scenario: A store that is away at the deadline receives the end state afterwards
    Given 100 routers with 100 requests a second and a rollout of 30 s
    When the version is good, and the store is away from 20 s to 40 s
    Then it is rolled back at 40 s, within the exposure limit

  # Without the condition, a decider that was frozen would write the end that it had decided before.
  Scenario: Deciders that read old documents never write two ends of an attempt
    Given any interleaving of two or three deciders that read, decide and write with a condition
    When answers of writes are lost, and the store is restored from a copy
    Then each attempt has at most one end, and no router returns from an end to an earlier state

  Scenario Outline: Responses to orders
    Given a rollout to "v2" that is <state>
    When the decider sees <event>
    Then the next document is <document>

    Examples:
      | state       | event                                           | document                                 |
      | absent      | no order                                        | unchanged                                |
      | absent      | the order                                       | attempt 1 to v2, running, share 0        |
      | absent      | an order for the version in force               | attempt 1 to v1, completed               |
      | absent      | an order while no replica is listed             | attempt 1 to v2, running, share 0        |
      | running     | the order                                       | unchanged                                |
      | running     | the same order again                            | attempt 1 to v2, running, same deadline  |
      | running     | the same order under a new store era            | attempt 1 to v2, running, same deadline  |
      | running     | the same order with half the duration           | attempt 1 to v2, running, earlier deadline |
      | running     | an order for v3                                 | attempt 2 to v3, running, share 0        |
      | running     | an order for v3 that is older than the document | unchanged                                |
      | running     | no order                                        | attempt 1 to v2, rolled_back             |
      | running     | no order in an older list of orders             | unchanged                                |
      | running     | no order after the store lost its history       | unchanged                                |
      | running     | the order after the deadline                    | attempt 1 to v2, rolled_back             |
      | running     | a bad verdict                                   | attempt 1 to v2, rolled_back             |
      | running     | one halted router                               | unchanged                                |
      | running     | two halted routers                              | attempt 1 to v2, rolled_back             |
      | running     | a bad verdict on an earlier attempt             | unchanged                                |
      | running     | the order as another decider                    | attempt 1 to v2, running, taken over     |
      | running     | the store restored a second ago                 | unchanged                                |
      | completed   | the order                                       | unchanged                                |
      | completed   | no order                                        | unchanged                                |
      | completed   | the same order again                            | attempt 2 to v2, completed               |
      | completed   | the same order under a new store era            | attempt 1 to v2, completed               |
      | completed   | an order for v3                                 | attempt 2 to v3, running, share 0        |
      | rolled_back | the order                                       | unchanged                                |
      | rolled_back | no order                                        | unchanged                                |
      | rolled_back | the same order again                            | attempt 2 to v2, running, share 0        |
      | rolled_back | the same order under a new store era            | attempt 1 to v2, rolled_back             |
      | rolled_back | a bad verdict                                   | unchanged                                |

  Scenario: A version without replicas is rolled back at the deadline
    Given 4 routers with 100 requests a second and a rollout of 12 s
    When the version has no replicas
    Then it is rolled back at 12 s, within the exposure limit

  Scenario: A service without requests is completed at the deadline if the target has ready replicas
    Given 4 routers with 0 requests a second and a rollout of 12 s
    When the version is good
    Then it is completed by the deadline, within the exposure limit

  Scenario: A decider that hears from no other router neither raises the share nor completes
    Given a running rollout whose decider has heard from few routers
    When it decides until the deadline
    Then the share stays, and the rollout is rolled back

  # The share of a version was raised with 6 failed and 4 silent attempts of 36, 4 and 2 failures by
  # replica, and it was completed.
  Scenario: The share of a suspect version is not raised
    Given a running rollout with 6 failed and 4 silent attempts of 36 at two target replicas
    When it decides until the deadline
    Then the share stays, and the rollout is rolled back

  Scenario Outline: The target receives no larger share than its replicas can process
    Given a running rollout at share 0.25 shortly before the deadline, with 100 requests in flight
    When the target has <slots> slots on replicas that are <warmth>
    Then the share is <outcome>

    Examples:
      | slots | warmth | outcome |
      | 62    | warm   | kept    |
      | 63    | warm   | raised  |
      | 0     | warm   | raised  |
      | 500   | cold   | kept    |

  Scenario: Documents of rollouts are encoded and decoded, and unreadable ones are rejected
    Given arbitrary documents, arbitrary bytes and corrupted documents
    Then each document is decoded as it was encoded, and other bytes raise BAD_REQUEST

  Scenario: An older copy never replaces an end state or a later attempt
    Given arbitrary pairs of documents of one service
    Then the later attempt is newer, then the ended one, then the one with more writes

  Scenario: The draws of many routers together have the share exactly on average
    Given a gate with any start credit and any share
    When it draws any number of attempts
    Then the target gets the share of them, up to one attempt

  Scenario Outline: The gate of a router
    Given a router that has seen "v1"
    When a router where <event>
    Then attempts go to <versions>

    Examples:
      | event                                                         | versions           |
      | nothing else is listed                                        | v1                 |
      | v2 is listed in its first list                                | v1 and v2 equally  |
      | v2 is listed without an order                                 | v1 and 5 % to v2   |
      | v2 has been listed for the configuration time                 | v1 and v2 equally  |
      | v2 has been listed for long without any contact               | v1 and 5 % to v2   |
      | rollouts are disabled and v2 is listed                        | v1 and v2 equally  |
      | v2 is ordered and there is no document                        | v1                 |
      | v2 runs at share 0.5                                          | v1 and 50 % to v2  |
      | v2 runs at share 0.5 and the document is unconfirmed          | v1                 |
      | v2 runs at share 0.5 and the router has halted                | v1                 |
      | v2 runs at share 0.5 and the order is withdrawn               | v1                 |
      | v2 runs at share 0.5 and v3 is ordered                        | v1                 |
      | v2 runs at share 0.5 and v3 is listed                         | v1 and 50 % to v2  |
      | v2 runs at share 0.5 and has no available replica             | v1                 |
      | v2 runs at share 0 and v1 is no longer listed                 | v2                 |
      | v2 is completed                                               | v2                 |
      | v2 is completed, and an older document arrives                | v2                 |
      | v2 is completed, and v3 has been listed for long              | v2 and v3 equally  |
      | v2 is rolled back                                             | v1                 |
      | v2 is rolled back and v1 is no longer listed                  | v2                 |
      | v2 is rolled back, and v3 runs at share 0.5                   | v1 and 50 % to v3  |

  Scenario: An attempt that was drawn before the rollback is not sent after it
    Given a router at which "v2" runs at share 1
    When an attempt is drawn, and "v2" is rolled back before it is sent
    Then the router must not send it to "v2"

  # A stream that began at the target may continue there only, although nothing is drawn for it.
  Scenario: Streams that continue at the target are taken off its share
    Given a gate with any start credit and any share
    When it draws any number of attempts, of which some continue streams of the target
    Then the target gets at most one attempt more than its share, and no stream goes elsewhere

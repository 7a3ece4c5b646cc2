Feature: Requests that crash replicas are detected and refused

  Scenario: The log distinguishes a crashed replica from a lost response
    Given a gateway before four portal replicas
    When a receipt crashes its replica, and the response to another receipt is lost
    Then one log line names the crashed replica and its request, and none names the other request

  # The kernel closes the listener of a crashed process some milliseconds after its connections. A
  # crash looked like a lost response until another request's connection was refused.
  Scenario: A crash is recorded at once although the replica's listener is closed a little later
    Given a gateway with one replica per service
    When a status is requested and the replica's response is "lose, replica ending"
    Then the caller receives a complete response 502 without a replica's signature
    And the log says that the replica has ended under this request

  Scenario: The log names the prompt segments of a request that crashed its replica
    Given a gateway before four portal replicas
    When a streamed request with three prompt segments crashes its replica
    Then its log line names the segments that other requests may share

  Scenario: The trace of a refused request names the crashes that led to the refusal
    Given a gateway before four portal replicas
    When a receipt has crashed three of them and is requested once more
    Then its trace names each replica, when it terminated and which router detected it

  # Other gateways do not notice the absence of one that restarts within 3 s. As they sent their
  # recent crashes only to gateways that had been absent, the restarted one had lost them.
  Scenario: A gateway that restarts at once receives the recent crashes
    Given two gateways before four portal replicas
    When one of them detects a crash by a receipt, and the other one is killed and restarted
    Then the first one sends its recent crashes to the other one again

  Scenario: Requests with the same account, path, query and body have the same fingerprint
    Given requests of two accounts with paths and bodies of any kind
    Then two have the same fingerprint if and only if all of these are equal

  # One request crashed every replica that started it, 20 within 40 s, while its caller repeated it
  # to any router. Failures were tracked by replica and each repetition counted as a new request, so
  # the ninth send was not connected with the first three. With four routers and four requests a
  # second, 73 of 82 reached a replica later than 2 s after the third crash; three are allowed.
  Scenario: A request that has crashed three replicas is stopped on all routers
    Given four gateways before six replicas of each service, which are replaced after a crash
    When a receipt that crashes them is requested four times a second, and nothing else fails
    Then at most three of its requests reach a replica later than 2 s after the third crash
    And the requests of other callers are answered from then on

  Scenario: A request that crashes replicas is stopped even if all routers are killed after the third crash
    Given four gateways before six replicas of each service, which are replaced after a crash
    When a receipt that crashes them is requested four times a second, and all gateways are killed after the third crash
    Then at most three of its requests reach a replica later than 2 s after the third crash
    And the requests of other callers are answered from then on

  Scenario: A resumable stream that crashes replicas is stopped as well
    Given four gateways before six replicas of each service, which are replaced after a crash
    When a resumable stream that crashes them is requested four times a second, and nothing else fails
    Then at most three of its requests reach a replica later than 2 s after the third crash
    And the requests of other callers are answered from then on

  Scenario Outline: Other kinds of requests are stopped as well, even if routers are killed
    Given four gateways before six replicas of each service, which are replaced after a crash
    When <request> that crashes them is requested four times a second, and <failure>
    Then at most three of its requests reach a replica later than 2 s after the third crash
    And the requests of other callers are answered from then on

    Examples:
      | request                      | failure                                          |
      | a receipt                    | the gateway that sent it is killed at each crash |
      | a non-idempotent status call | nothing else fails                               |
      | a resumable stream           | all gateways are killed after the third crash    |

  Scenario: A popular request is served again soon after all its replicas terminated at once
    Given four gateways before six replicas of each service, which are replaced after a crash
    When one receipt is requested often, and all portal replicas terminate at once, twice
    Then all gateways answer it once the replicas are replaced

  Scenario Outline: Few sends follow the third crash, whichever messages routers receive
    Given <routers> routers that share the records of a store
    Then no order of sends, crashes, restarts, partitions, message losses and pauses exceeds the limit

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario Outline: A request that ran beside the cause of crashes is served again
    Given 4 routers that share the records of a store
    When a request was on <crashes> crashed replicas by chance, and its trial is answered completely
    Then no router suspects it, and the store has no record

    Examples:
      | crashes |
      | 2       |
      | 6       |

  Scenario: A request whose router dies in each of three trials is refused for ten minutes
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and the router of each of its trials is killed
    Then it gets three trials in a minute and is then refused for ten minutes

  Scenario: A trial of a router that has restarted does not delay the next one
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and the router of its trial is killed and restarted
    Then another router runs a trial after a second

  Scenario: A request with inconclusive trials gets three of them before a long pause
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and its caller disconnects during each trial
    Then it gets three trials and is then refused for ten minutes

  Scenario: A request whose trials crash replicas gets them at growing intervals, then none
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and each of its trials crashes a replica
    Then it gets a trial at once, after a minute and after ten more, and never again

  Scenario: A request gets three trials before a long pause, whatever their outcomes
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, its caller disconnects during two trials, and the third one crashes a replica
    Then it is refused for ten minutes after the third trial

  Scenario: A trial whose replica terminates together with others does not count
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and four replicas terminate together during its trial
    Then it gets another trial a second later

  Scenario: Removing a record by hand clears the request
    Given 4 routers that share the records of a store
    When a request is refused, and its record is removed
    Then every router sends it again

  Scenario: One router runs a trial of a suspect request while the store is unavailable
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and no router reaches the store
    Then one of them runs one trial, and a complete response clears the request

  Scenario: Unreadable records are rejected
    Given arbitrary bytes and corrupted records in the store
    Then reading them returns a record or raises BAD_REQUEST

  # A record that is too long to be read counts as empty, so that its trials start anew.
  Scenario: The longest record can be read
    Given a trial of a request with as many segments and crashed replicas as records name
    When ids of replicas and segments are 200 characters long
    Then its record is read as it was written

  Scenario: A record that another writer corrupted is replaced
    Given 4 routers that share the records of a store
    When a request was on two crashed replicas, and its record is unreadable
    Then one router runs a trial, and the record can be read again

  Scenario: Notices of many crashes fit into datagrams
    Given 400 segments that were on crashed replicas with ids of 40 characters
    When a router reports them all at once, the replicas, and that the segments are cleared
    Then another router receives every entry

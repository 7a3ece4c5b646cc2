Feature: A stream holds events of one software version only

  # The rest of a broken stream went to any replica that was ready.
  Scenario: A broken stream does not continue in the same response at another version
    Given a gateway, and one engine of version "v1" that breaks streams off beside two of "v2"
    When 20 scores are streamed
    Then no response has events of two versions
    And the responses that an engine of "v1" began are recognisably incomplete

  # A gateway did not know which version began a stream that another gateway had served.
  Scenario: A stream that is taken up at another gateway does not continue at another version
    Given two gateways, and two engines of each of the versions "v1" and "v2"
    When 20 callers break off after the first event of their streams
    And one engine of each version ends
    And they take their streams up at the other gateway
    Then no stream has events of two versions
    And all of them go on to their end

  Scenario: A stream that is taken up again names the request of its first event still
    Given two gateways, and two engines of each of the versions "v1" and "v2"
    When a caller breaks off after the first event and takes its stream up twice, each time elsewhere
    Then no stream has events of two versions
    And all of them go on to their end

  Scenario: A stream that nobody knows is refused at once while its service has two versions
    Given two gateways, and two engines of each of the versions "v1" and "v2"
    When a stream is taken up that nobody knows
    Then the caller is refused at once with "stream_unknown", and no engine gets the request

  Scenario: A stream whose version has ended for good is refused at once
    Given two gateways, and two engines of each of the versions "v1" and "v2"
    When a caller breaks off a stream of version "v1", and all engines of it end
    Then the caller is refused at once with "version_gone", and no engine gets the request

  Scenario Outline: Streams keep to their versions, and go on, under trouble
    Given four gateways, and two engines of each of the versions "v1" and "v2"
    When callers break streams off and take them up at any gateway while <trouble>
    Then no stream has events of two versions
    And at least half as many of them go on as new ones begin

    Examples:
      | trouble                              |
      | nothing fails                        |
      | gateways are killed in turn          |
      | gateways are frozen in turn          |
      | engines break off every third stream |
      | engines are replaced in turn         |
      | the store is silent for 4 s          |

  Scenario: Streams of a service of one version go on at gateways that have just started
    Given four gateways, and four engines of version "v1"
    When callers break streams off and take them up at any gateway while nothing fails
    Then at least nine in ten of them go on

  Scenario: No sequence of events lets a stream continue at another version
    Given routers that begin streams at versions that come and go
    Then no sequence of lists, cuts, restarts and losses lets a stream continue at another version

  Scenario: A stream that began before its service had a second version is known elsewhere
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    Then no router has sent a message on streams
    When version v2 is listed at all routers
    And router 0 is killed
    Then router 1 continues it at version v1

  Scenario: A service of one version needs no record of a stream
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    And router 0 is killed
    Then router 1 continues it at version v1
    And router 2 continues it at version v1

  Scenario: A router with an old list does not take its one version for the only one
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    And router 1 is cut off from the store and the other routers
    Then router 1 refuses to continue it

  Scenario: Routers that have all started again do not know the streams of before
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    And all routers are killed and start again
    Then router 1 refuses to continue it
    When 9 s pass
    Then router 1 refuses to continue it

  Scenario: Routers that have just started know the streams that others begin
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When all routers are killed and start again
    And router 0 begins a stream at version v1
    And router 0 is killed
    Then router 1 continues it at version v1

  Scenario: A stream that began while its replica changed its version is not continued
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When version v2 is listed at all routers
    And router 0 begins a stream at version v1
    Then router 0 may continue it in the same response
    When the replica of version v1 restarts at version v3 under its id
    And version v1 is listed by another replica
    Then router 0 refuses to continue it
    And router 0 does not continue it in the same response
    And router 1 refuses to continue it

  # Routers that had not received the new record of the replica continued such a stream.
  Scenario: A stream that one router knows to be uncertain is continued by none
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When version v2 is listed at all routers
    And router 0 begins a stream at version v1
    And the replica of version v1 restarts at version v2 under its id, which only router 1 sees
    Then router 1 refuses to continue it
    And router 2 refuses to continue it
    And router 0 refuses to continue it

  Scenario: An uncertain stream stays so if a router that does not know announces it again
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When version v2 is listed at all routers
    And router 0 begins a stream at version v1
    And the replica of version v1 restarts at version v2 under its id, which only router 1 sees
    And router 0 announces its streams again
    Then router 1 refuses to continue it

  # A router that has the new record does not know of the stream, and the one that knows it lags.
  Scenario: A stream that began at a restarted replica before its record arrived is not continued
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When the replica of version v1 restarts at version v2 under its id, which no router sees
    And router 0 begins a stream at version v1
    And router 1 sees the list of replicas
    Then router 2 refuses to continue it

  Scenario: A stream that began long before its replica restarted is continued
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    And 6 s pass
    And the replica of version v1 restarts at version v2 under its id, which no router sees
    And router 1 sees the list of replicas
    Then router 2 continues it at version v1

  Scenario: A router continues a stream that it knows while the others do not reply
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When version v2 is listed at all routers
    And router 0 begins a stream at version v1
    And router 0 is cut off from the store and the other routers
    Then router 0 continues it at version v1

  Scenario: A replica whose process has ended continues no stream before its record is written again
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    And the process of the replica of version v1 ends, and its record stays
    Then router 0 has no replica at which it may continue
    When the record of the replica of version v1 is written again
    Then router 0 has a replica at which it may continue

  Scenario: A stream of a route with two services continues at the service that began it
    Given routers in contact, and a service of version v1 that they have listed for a minute
    When router 0 begins a stream at version v1
    Then router 0 continues it at its service, though the request drew another one

  # Names of ended processes and of services that are gone were kept for good.
  Scenario: What is remembered of ended replicas and of services that are gone has a bound
    Given a history of versions
    When a replica restarts 5000 times, and 5000 services are listed for a while
    Then two hours later it holds at most 1024 names of replicas, and one service

  Scenario: A replaced replica whose end is no longer remembered stays uncertain
    Given a history of versions
    When a replica ends and restarts at its version, and 1500 others do so after it
    Then its version as of the earlier record is uncertain
    And the versions of all listed replicas are certain

Feature: A request that ends the replicas which run it is not sent on for ever

  Scenario: The log tells a replica that has ended from one that only lost an answer
    Given a gateway before four portal replicas
    When a receipt ends its replica, and another one's answer is lost
    Then one line tells which replica ended under which request, and none of the other

  Scenario: The story of a refused request names the ends that led to it
    Given a gateway before four portal replicas
    When a receipt has ended three of them and is asked for once more
    Then its story names each replica, when it ended and which router saw it

  # A gateway that is killed and started again within 3 s was never away to the others, which tell
  # what they know only to those that were: it knew nothing of what it had lost.
  Scenario: A gateway that starts again at once is told under which requests replicas ended
    Given two gateways before four portal replicas
    When one of them sees a receipt end its replica, and the other one is killed and starts again
    Then the first one tells the other one once more what it knows

  Scenario: Requests are the same where account, path, query and body are
    Given requests of two accounts with paths and bodies of any kind
    Then two have the same id just where all of these are equal

  # One request ended every replica that began it, 20 within 40 s, and its caller came back with it
  # to any router. Each try was a new request to the router that got it, and failures were kept by
  # replica, so that nobody knew on the ninth try what the first three had done:
  #   request.ended attempts=[replica=2a22 first_ms=22 held_ms=72 "peer closed connection",
  #                           replica=1b87 first_ms=27 held_ms=110 "peer closed connection"]
  #   request.ended attempts=[replica=2be5 first_ms=2796 held_ms=2869 "peer closed connection", ...
  # Four routers together, one caller that asks four times a second: 73 of 82 arrivals came later
  # than 2 s after the third replica had ended, where three are allowed.
  Scenario: Whichever router it comes to, it stops soon after it has ended three replicas
    Given four gateways before six replicas of each service, which come back after they have ended
    When a receipt that ends them is asked for four times a second, and nothing else happens
    Then at most three of its arrivals are later than 2 s after the third end
    And the usual requests of others are answered from then on

  Scenario: It stops also where all routers die after the third end
    Given four gateways before six replicas of each service, which come back after they have ended
    When a receipt that ends them is asked for four times a second, and all gateways are killed after the third end
    Then at most three of its arrivals are later than 2 s after the third end
    And the usual requests of others are answered from then on

  Scenario: A stream that may be resumed stops as well
    Given four gateways before six replicas of each service, which come back after they have ended
    When a stream that may be resumed that ends them is asked for four times a second, and nothing else happens
    Then at most three of its arrivals are later than 2 s after the third end
    And the usual requests of others are answered from then on

  Scenario Outline: Other requests stop as well, whatever befalls their routers
    Given four gateways before six replicas of each service, which come back after they have ended
    When <request> that ends them is asked for four times a second, and <trouble>
    Then at most three of its arrivals are later than 2 s after the third end
    And the usual requests of others are answered from then on

    Examples:
      | request                      | trouble                                        |
      | a receipt                    | the gateway that sent it is killed at each end |
      | a status that may run once   | nothing else happens                           |
      | a stream that may be resumed | all gateways are killed after the third end    |

  Scenario: What many ask for is served again soon after all its replicas ended at once
    Given four gateways before six replicas of each service, which come back after they have ended
    When one receipt is asked for often, and all portal replicas end at once, twice
    Then it is answered by all gateways once the replicas are back

  Scenario Outline: Whatever routers know of each other, few are sent after the third end
    Given <routers> routers that share the records of a store
    Then no order of sends, ends, deaths, cuts, lost messages and suspensions exceeds the bound

    Examples:
      | routers |
      | 4       |
      | 26      |
      | 68      |
      | 760     |

  Scenario Outline: A request that was beside others' ends is served again
    Given 4 routers that share the records of a store
    When a request met <ends> ends by chance, and its try is answered in whole
    Then no router holds anything against it, and the store has no record

    Examples:
      | ends |
      | 2    |
      | 6    |

  Scenario: A request whose try shows nothing is tried three times before a long pause
    Given 4 routers that share the records of a store
    When a request met two ends, and its caller leaves during each try
    Then it is tried three times and then refused for ten minutes

  Scenario: A request whose tries end their replicas is tried less and less, and then no more
    Given 4 routers that share the records of a store
    When a request met two ends, and each of its tries ends a replica
    Then it is tried at once, after a minute and after ten more, and never again

  Scenario: A request whose replica ended together with others while it was tried is not refused
    Given 4 routers that share the records of a store
    When a request met two ends, and its replica ends during its try, as three others do
    Then it is tried again a second later

  Scenario: A record that an operator removes is forgotten
    Given 4 routers that share the records of a store
    When a request is refused, and its record is removed
    Then every router sends it again

  Scenario: While the store is away one router tries a request that met two ends
    Given 4 routers that share the records of a store
    When a request met two ends, and no router reaches the store
    Then one of them tries it once, and it is sent again after a whole answer

  Scenario: Records that can't be read hold nothing against anybody
    Given any bytes and any changed record in the store
    Then reading them gives a record or says why not

  Scenario: A record that another writer spoilt is replaced
    Given 4 routers that share the records of a store
    When a request met two ends, and its record holds what nobody can read
    Then one router tries it, and the record can be read again

Feature: Routers of two builds side by side keep what one build keeps

  Scenario Outline: What a landed build wrote is read today, each field of it
    Given the messages and records that build <build> wrote
    Then today's build reads all of them and loses no field

    Examples:
      | build   |
      | 261aa16 |
      | 67204a4 |
      | 2cd8a79 |
      | c2c3948 |
      | 49152d8 |
      | 64f8938 |
      | b95c5d9 |
      | f615bed |

  Scenario: What is written today is read by the build that landed last
    Given the build that landed last, from the history
    When today's build writes a sample of each message and record
    Then that build reads all that it knows, and takes what it does not know for unreadable

  # A router whose store does not answer asks another one for the list of replicas and the
  # configuration. That answer was compressed from one build to the next without a word, so that a
  # router of the one build got nothing from one of the other, in either direction.
  Scenario Outline: A router that starts without the store learns all from one of another build
    Given a gateway of <one> that serves, and replicas
    When a gateway of <other> starts next to it whose store does not answer
    Then it is ready, and serves

    Examples:
      | one     | other   |
      | today   | 2cd8a79 |
      | c2c3948 | today   |
      | today   | c2c3948 |
      | 49152d8 | today   |
      | today   | 49152d8 |
      | 64f8938 | today   |
      | today   | 64f8938 |
      | b95c5d9 | today   |
      | today   | b95c5d9 |
      | f615bed | today   |
      | today   | f615bed |

  # Routers of 2cd8a79 do not know of evacuations. One of today that learnt the configuration from
  # them alone would send to failure domains that the operator has emptied, so it waits for the store.
  Scenario: A router that starts without the store serves nothing on what an older one can't know
    Given a gateway of 2cd8a79 that serves, and replicas
    When a gateway of today starts next to it whose store does not answer
    Then it learns the list of replicas from the other one, and is not ready
    And it serves as soon as its store answers

  # Of two builds the newer one followed one more part of the store, the records of requests that end
  # replicas. It rested behind leaders of the older build, which did not follow it, and never heard
  # of such a record.
  Scenario: A router does not rest behind leaders that follow less of the store than it does
    Given two gateways of c2c3948 that lead, and replicas
    When one of today starts next to them, and a record of a request that ends replicas is written
    Then it knows that record

  Scenario Outline: A changed configuration is in force in time behind leaders of another build
    Given two gateways of <leading> that lead, and replicas
    When a gateway of <resting> starts next to them, and a key is revoked after it is ready
    Then all gateways have applied that version within 2 s

    Examples:
      | leading | resting |
      | today   | 64f8938 |
      | today   | b95c5d9 |
      | 64f8938 | today   |
      | b95c5d9 | today   |
      | today   | f615bed |
      | f615bed | today   |

  Scenario Outline: An older build that newer leaders told of changes goes on by itself
    Given two gateways of today that lead, and replicas
    When a gateway of <build> that has rested behind them is left alone, and a key is revoked
    Then it applies that version

    Examples:
      | build   |
      | 64f8938 |
      | b95c5d9 |
      | f615bed |

  Scenario Outline: A raised limit is in force at an older build that goes on with the account
    Given a gateway of today that has spent an account
    When a gateway of <build> replaces it, and the account's limit is raised
    Then requests of the account are served again

    Examples:
      | build   |
      | 64f8938 |
      | b95c5d9 |
      | f615bed |

  Scenario: The build of each router is told
    Given a gateway of 49152d8 that serves, and replicas
    When a gateway of today that is called v9 starts next to it
    Then its start line, its member record and its figures name v9, and count one router untold

  Scenario: What another build says that this one can't read is told once a kind and counted
    Given a port for messages between routers
    When another build sends it 5 messages of each of two unknown kinds and 3 that are none
    Then there is one line for each of these three, and 13 are counted
    And a message that it knows still arrives, also with fields that it doesn't know

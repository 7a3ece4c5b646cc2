Feature: Routers of different builds work together without loss

  Scenario Outline: The current build reads every field that a landed build wrote
    Given the messages and records that build <build> wrote
    Then the current build reads all of them without losing a field

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
      | 468d9e5 |
      | eee42fe |
      | 643df23 |
      | 7d4449f |
      | 6122224 |

  Scenario: The build that landed last reads what the current build writes
    Given the build that landed last, from the history
    When the current build writes a sample of each message and record
    Then that build reads all kinds that it has, and reports the others as unreadable

  # A router whose store does not answer fetches the list of replicas and the configuration from
  # another router. From one build to the next that response became compressed without negotiation,
  # so that routers of the two builds got nothing from each other, in either direction.
  Scenario Outline: A router that starts without the store gets its state from one of another build
    Given a gateway of build <one> that serves, and replicas
    When a gateway of build <other> starts next to it whose store does not answer
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

  # Build 2cd8a79 has no evacuations. A router of the current build that got its configuration only
  # from routers of that build would send requests to failure domains that the operator has
  # evacuated, so it waits for the store.
  Scenario: A router that starts without the store is not ready if its peer's build lacks evacuations
    Given a gateway of build 2cd8a79 that serves, and replicas
    When a gateway of build today starts next to it whose store does not answer
    Then it gets the list of replicas from the other one, and is not ready
    And it serves as soon as its store answers

  # The newer one of two builds watched one more prefix of the store, the records of requests that
  # crash replicas. A router of that build relied on leaders of the older build, which did not watch
  # the prefix, and so it never received such a record.
  Scenario: A router does not rely on leaders that watch fewer prefixes of the store than it needs
    Given two gateways of build c2c3948 that lead, and replicas
    When one of the current build starts next to them, and a request that crashes replicas is recorded
    Then it has that record

  Scenario Outline: A changed configuration is in force in time under leaders of another build
    Given two gateways of build <leading> that lead, and replicas
    When a gateway of build <following> starts next to them, and a key is revoked after it is ready
    Then all gateways have applied that version within 2 s

    Examples:
      | leading | following |
      | today   | 64f8938   |
      | today   | b95c5d9   |
      | 64f8938 | today     |
      | b95c5d9 | today     |
      | today   | f615bed   |
      | f615bed | today     |

  Scenario Outline: An older build that received changes from newer leaders continues without them
    Given two gateways of build today that lead, and replicas
    When a gateway of build <build> that has followed them is left alone, and a key is revoked
    Then it applies that version

    Examples:
      | build   |
      | 64f8938 |
      | b95c5d9 |
      | f615bed |

  Scenario Outline: A raised limit is in force at an older build that takes over the account
    Given a gateway of the current build that has used up an account
    When a gateway of build <build> replaces it, and the account's limit is raised
    Then requests of the account are served again

    Examples:
      | build   |
      | 64f8938 |
      | b95c5d9 |
      | f615bed |

  # Earlier builds write records without the pause before the running trial, and drop it from those
  # that they write again.
  Scenario: A pause that an earlier build recorded outlasts a trial that was not sent
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    And a build that has only the fields up to "together" writes the records again
    And a trial of the other caller's segment alone is not sent
    Then a request with that segment and a new one is refused

  Scenario Outline: An earlier build keeps to the pause before a trial that was not sent
    Given 4 routers that share the records of a store
    When a caller's streams name another's segment, each with one of several that crash replicas
    And a trial of the other caller's segment alone is not sent
    And a build that has only the fields up to "<field>" writes the records again
    Then a request with that segment and a new one is refused

    Examples:
      | field       |
      | next_try_ms |
      | together    |

  Scenario Outline: A segment gets three trials, whichever builds write its record
    Given 4 routers that share the records of a store
    Then no outcomes of trials and builds with the fields up to "<field>" let a segment get more

    Examples:
      | field         |
      | next_try_ms   |
      | together      |
      | wait_until_ms |

  Scenario: The build of each router is reported
    Given a gateway of build 49152d8 that serves, and replicas
    When a gateway of the current build named v9 starts next to it
    Then its start line, member record and metrics name v9, and count one router without a reported build

  Scenario: Unreadable messages of another build are logged once per kind and counted
    Given a port for messages between routers
    When another build sends it 5 messages of each of two unknown kinds and 3 that are no messages
    Then each of these three kinds is logged once, and 13 are counted
    And a message of a known kind still arrives, even with unknown fields

Feature: Clients outside of the operator's control neither exhaust a router nor keep others out

  Scenario Outline: A gateway ran out of memory when many clients <did>
    Given a gateway with 96 MB of memory and <threads> threads
    When <crowd> clients <did>
    Then the gateway runs, within its memory and descriptors
    And an ordinary request is answered while the clients stay
    And the memory is given back when the clients have left

    Examples: Requests
      | crowd | threads | did                                              |
      | 32    | 256     | send large bodies with a length                  |
      | 32    | 256     | send large bodies in chunks                      |
      | 32    | 256     | stop one byte short of the end of a large body   |
      | 32    | 256     | send the end of a large body in drops            |
      | 32    | 256     | stop one byte short of the end of a chunked body |
      | 64    | 256     | send chunked bodies with long trailers           |
      | 200   | 256     | send heads of thousands of lines                 |
      | 300   | 256     | send hundreds of requests at once                |

    Examples: Responses
      | crowd | threads | did                                            |
      | 32    | 256     | never read a long answer with a length         |
      | 32    | 256     | read a long answer with a length slowly        |
      | 32    | 256     | read a long answer in chunks slowly            |
      | 32    | 256     | read a long stream slowly                      |
      | 64    | 256     | wait for an event that has no end              |
      | 32    | 256     | send large bodies and read long answers slowly |

  Scenario Outline: The bodies of requests stayed in memory after replicas <did>
    Given a gateway with 96 MB of memory and 256 threads
    When 20 large bodies are sent one after the other to replicas that <do>
    Then the gateway runs, within its memory and descriptors
    And its memory is given back

    Examples:
      | did                 | do               |
      | answered            | long for a crowd |
      | refused             | refuse           |
      | lost them           | lose             |
      | broke off answers   | end early        |
      | answered in garbage | garbage          |

  Scenario: Memory that requests had freed stayed with the process
    Given a budget of 64 MB, of which requests use 20 MB
    When the requests release it, and free memory is looked for twice
    Then free memory is given back to the operating system once

  Scenario: Long ids that callers chose stayed in memory
    When 100 streams and prompts with ids of 15000 characters are recorded
    Then less than 200 KB are kept of them, and they are found by their ids

  Scenario: Long ids that callers chose filled the queue of the log
    When the end of a request is logged whose headers have 15000 characters each
    Then the line has less than 8 KB

  Scenario Outline: Ordinary callers were kept out by clients that <did>
    Given a gateway with 400 descriptors, 16 threads and 256 MB of memory
    When <crowd> clients <did>
    Then the gateway runs, within its memory and descriptors
    And an ordinary request is answered while the clients stay

    Examples:
      | crowd | did                                     |
      | 250   | send a head in drops                    |
      | 250   | send a short body in drops              |
      | 250   | send nothing                            |
      | 24    | read a long answer with a length slowly |
      | 24    | read a long stream slowly               |

  Scenario Outline: A request in drops was never timed out when a client <did>
    Given a gateway with 400 descriptors, 16 threads and 256 MB of memory
    When one client goes on to <do>
    Then its connection is closed

    Examples:
      | did                                   | do                                    |
      | sent a head in drops                  | send a head in drops                  |
      | sent a short body in drops            | send a short body in drops            |
      | sent the end of a large body in drops | send the end of a large body in drops |

  Scenario Outline: A gateway ran out of <resource> at its <place> address when clients <did>
    Given a gateway with 400 descriptors, 16 threads and 96 MB of memory
    When its <place> address is called by 450 clients that <did>
    Then the gateway runs, within its memory and descriptors
    And its <place> address responds while the clients stay
    And an ordinary request is answered while the clients stay

    Examples:
      | resource    | did                               | place     |
      | memory      | stop one byte short of any head   | readiness |
      | memory      | stop one byte short of any head   | metrics   |
      | memory      | stop one byte short of any head   | peer      |
      | descriptors | send nothing                      | readiness |
      | descriptors | send nothing                      | metrics   |
      | memory      | send hundreds of requests at once | readiness |
      | memory      | send hundreds of requests at once | metrics   |
      | memory      | send hundreds of requests at once | peer      |

  Scenario Outline: A body of the largest size was refused when it came <framing>
    Given a gateway with 96 MB of memory that accepts bodies of <limit> bytes
    When a body of <limit> bytes is sent <framing>
    Then it is answered, and the replica has received it unchanged

    Examples:
      | limit   | framing                  |
      | 4194304 | with a length            |
      | 4194304 | in chunks of 65536 bytes |
      | 4194304 | in chunks of 1000 bytes  |
      | 65536   | in chunks of 1 bytes     |

  Scenario Outline: A body beyond the limit was cut off instead of refused when it came <framing>
    Given a gateway with 96 MB of memory that accepts bodies of 65536 bytes
    When a body of 8000000 bytes is sent <framing>
    Then it is refused as too large

    Examples:
      | framing                  |
      | with a length            |
      | in chunks of 65536 bytes |

  Scenario Outline: Requests beyond the memory were accepted when large bodies came <framing>
    Given a gateway with 96 MB of memory and 256 threads
    When 32 requests that may run once are sent at the same time, with large bodies <framing>
    Then each is answered or refused, none that was refused has run, and some were refused
    And each refusal names its request and a time to retry, and its line in the log the cause
    And the metrics page counts the refusals and the memory in use

    Examples:
      | framing                  |
      | with a length            |
      | in chunks of 65536 bytes |

  Scenario Outline: A request refused for its framing could not be found in the log when it had <part>
    Given a gateway with lines of at most <limit> bytes around chunks
    When a request is sent that has <part>
    Then it is refused with status <status>, and has not run
    And the refusal names its request, and its line in the log the outcome "<outcome>"
    And the metrics page counts the outcome "<outcome>"

    Examples:
      | limit | part                          | status | outcome          |
      | 1024  | a chunk size of 2000 bytes    | 400    | bad_request      |
      | 100   | a chunk size of 200 bytes     | 400    | bad_request      |
      | 1024  | a chunk without an end        | 400    | bad_request      |
      | 1024  | trailers of 100000 bytes      | 431    | fields_too_large |

  Scenario: A chunk size line within the limit is accepted
    Given a gateway with lines of at most 1024 bytes around chunks
    When a request is sent that has a chunk size of 1000 bytes
    Then it is answered with status 200

  Scenario Outline: Connections closed at the <place> address could not be found in the log
    Given a gateway that accepts 8 connections at its <place> address
    When its <place> address is called by 20 clients that send a head in drops
    Then its <place> address responds while the clients stay
    And at least 12 connections closed at its <place> address are counted, and in the log

    Examples:
      | place     |
      | readiness |
      | metrics   |
      | peer      |

  Scenario Outline: Heads refused at the <place> address could not be found in the log
    Given a gateway that accepts heads of 2000 bytes at its other addresses
    When heads of 1900 and 2100 bytes are sent to its <place> address
    Then the second is refused with status 431, counted, and in the log

    Examples:
      | place     |
      | readiness |
      | metrics   |
      | peer      |

  # The kernel doubles the size that is set, for its own overhead.
  Scenario Outline: What the kernel holds of an unread response could not be set to <size> KB
    Given a gateway with socket buffers of <size> KB
    When 1 clients never read a long answer with a length
    Then the kernel holds <relation> than <bound> KB of the response

    Examples:
      | size | relation | bound |
      | 16   | less     | 64    |
      | 256  | more     | 128   |

  Scenario: Clients of all kinds at once kept others out of a fleet
    Given a fleet of 2 gateways with 96 MB of memory and 256 threads
    When crowds of all kinds, with 6 clients each, arrive at each gateway
    And the settings are reloaded and the configuration is changed 5 times
    Then each gateway runs, within its memory and descriptors, and has heard the others
    And each gateway answers an ordinary request while the clients stay
    And each gateway gives its memory back when the clients have left

  Scenario: A planned stop ends while clients of all kinds hold on
    Given a gateway with 96 MB of memory and 256 threads
    When crowds of all kinds, with 6 clients each, arrive at each gateway
    And the gateway is told to stop
    Then it ends by itself, within the time of a stop

  Scenario: Each refused request searched all connections for memory
    Given 20 connections, none of a slow caller
    When 1000 requests within 100 ms look for memory on them
    Then the connections are searched at most 10 times
    When 1000 ms have passed, and one of them holds on to 10 KB
    Then a request that lacks 10 KB finds it, though one that lacks 20 KB does not

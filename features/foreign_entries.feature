Feature: Unusable store entries of other writers are skipped and do no other harm

  # An entry of 200,000 nested brackets in the list of replicas raised a RecursionError in the thread
  # mirror-servers/, which ended, and the router received no further replicas. Of 25 other unusable
  # entries 13 were listed as ready, among them entries without slots or state, with port 99999,
  # with -1 slots, or cold for 1e300 ms.
  Scenario: A gateway skips unusable entries and continues to receive replicas
    Given a gateway with one replica per service
    When other writers add unusable entries to the list of replicas
    Then none of them is listed, and a replica that registers later is

  Scenario: Any bytes are either parsed as a usable replica or rejected
    Given any bytes, any JSON and any valid entry with modifications
    Then each is parsed as a replica with an address, slots and bounded times, or rejected with its key

  Scenario: An exception in the change callback does not stop a mirror
    Given a mirror whose callback raises an exception at the first change
    When two changes arrive
    Then the callback receives the second one, and the exception is counted

  Scenario: A replica whose entry another writer corrupts is no longer used
    Given a gateway with two replicas per service
    When another writer overwrites the entry of one of them
    Then that replica gets no more requests, and one log line reports the entry

  Scenario: A thread continues after an unexpected exception
    Given a thread whose loop raises an exception twice
    Then it continues after each exception, and both are counted

  Scenario: All background loops of gateway, peers and store run on such threads
    When the sources of gateway, peers and store are searched for threads
    Then all of them continue after an exception

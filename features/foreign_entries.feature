Feature: Entries of other writers name no replica to use, and do no other harm

  # An entry of 200,000 nested brackets in the list of replicas ended the thread that follows it:
  #   Exception in thread mirror-servers/: RecursionError: maximum recursion depth exceeded
  # and the router heard of no replica again. Of 25 others 13 were listed as ready, among them ones
  # without slots or state, with port 99999, -1 slots, or cold for 1e300 ms.
  Scenario: A gateway passes over what it can't use, and goes on hearing of replicas
    Given a gateway with one replica per service
    When entries of other writers come into the list of replicas
    Then none of them is listed, and a replica that comes later is

  Scenario: Any bytes are read as a replica that can be used, or not at all
    Given any bytes, any JSON and any good entry with changes
    Then each is read as a replica with an address, slots and bounded times, or refused with its key

  Scenario: A fault while changes are taken over does not end the following
    Given a mirror whose owner fails at the first change
    When two changes come
    Then the owner gets the second one, and a line tells of the fault

  Scenario: A good entry that another writer spoils takes its replica out
    Given a gateway with two replicas per service
    When another writer overwrites the entry of one of them
    Then that one gets nothing more, and one line tells of the entry

  Scenario: A thread that meets a fault nobody foresaw goes on
    Given a thread whose loop fails twice
    Then it goes on after each fault, which a line and a counter tell

  Scenario: Whatever follows, leads or settles runs on such a thread
    When the sources of gateway, peers and store are searched for threads
    Then all of them go on after a fault

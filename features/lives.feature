Feature: A replica that starts again under its id is another one

  # A replica that had started again under its id was taken for the one before: it did not count as
  # cold, kept the failures and the shared parts of the earlier process, and where another one had
  # answered at the old address it was left out for 15 s though its record named a new address.
  Scenario: Nothing that was learnt of an earlier start holds for the next one
    Given a replica that failed, was slow, was replaced at its address and holds parts
    When its record tells of a later start, by its time or by a number that begins again
    Then it is a new replica: ready, cold as it says, without failures, parts or connections

  Scenario: What others tell of an earlier start says nothing of the next one
    Given a replica that failed, was slow, was replaced at its address and holds parts
    When it has started again, and messages on the earlier start still come
    Then they change nothing of it

  Scenario: A gateway uses a replica as soon as its new record is there
    Given a gateway that met another replica at the address of the only one
    When that one starts again under its id at a new address
    Then it gets the next receipts, within the time of a change of the list

Feature: A replica that restarts under its id is a new incarnation

  # Guards against taking a restarted replica for its earlier process: it was not treated as cold,
  # and kept that process's failures and prompt segments. If another replica had responded at the
  # old address, it was excluded for 15 s although its record named a new address.
  Scenario: Nothing recorded for an earlier incarnation applies to the next one
    Given a replica that failed, was slow, was replaced at its address and holds prompt segments
    When its record shows a restart, by its start time or by a sequence number that starts over
    Then it is ready, cold as its record states, without failures, prompt segments or connections

  Scenario: Messages about an earlier incarnation do not affect the next one
    Given a replica that failed, was slow, was replaced at its address and holds prompt segments
    When it has restarted, and messages about the earlier incarnation still arrive
    Then they do not change the new incarnation

  Scenario: A gateway uses a restarted replica as soon as it has read the new record
    Given a gateway that found another replica at the address of the only one
    When the replica restarts under its id at a new address
    Then it gets the next receipts within the time of a list update

Feature: The state that a replica reports applies to its current incarnation

  Scenario: The reported state outlasts a record that lapses and returns
    Given a registry with a replica that reported leaving, and one that asked for a 3 s backoff
    When both records lapse and return with the same start time, and are still marked ready
    Then the first one gets no requests, and the second one none before its backoff has ended

  Scenario: A notice that arrives while the record has lapsed applies as well
    Given a registry with a replica that has reported no state
    When its record lapses, one of its responses reports leaving, and the record returns
    Then it gets no requests

  Scenario: A new incarnation has no reported state
    Given a registry with a replica that reported leaving, and one that asked for a 3 s backoff
    When both restart under their ids, with a later start time or a sequence number that starts over
    Then both take requests, and a late response of the earlier incarnation does not change that

  Scenario: A response without the headers and a rewritten record do not clear the reported state
    Given a registry with a replica that reported leaving, and one that asked for a 3 s backoff
    When both send ordinary responses, and their records are written again
    Then the first one gets no requests, and the second one none before its backoff has ended

  Scenario: A backoff continues while the machine is suspended
    Given a registry with a replica that reported leaving, and one that asked for a 3 s backoff
    When the machine is suspended for 3 s
    Then the second one takes requests again

  Scenario: A shorter backoff does not replace a longer one, and the longest is ten minutes
    Given a registry with a replica that has reported no state
    When it asks for 3 s, then for 1 s, and once for 1e9 s
    Then its backoff ends after the longest of these, or after ten minutes

  Scenario Outline: Only a number of seconds in Retry-After is a backoff
    Given a response with "<value>" in Retry-After
    Then the backoff that it asks for is <ms> ms

    Examples:
      | value                         | ms            |
      | 3                             | 3000          |
      | 1.5                           | 1500          |
      | 0                             | 0             |
      | -3                            | 0             |
      | nan                           | 0             |
      | inf                           | 0             |
      | 1e999                         | 0             |
      | 1e9                           | 1000000000000 |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0             |
      | soon                          | 0             |

  Scenario: A leaving incarnation stays unavailable and backoffs never shrink, for any notices
    Given any sequence of notices, record lapses, record returns and delays
    Then no incarnation is available after it reported leaving, or before its longest backoff ends

  # The late notice replaced the state that the registry had kept for the lapsed record.
  Scenario: A late notice through an earlier view does not undo a later statement
    Given a registry with a replica that has reported no state
    When its record lapses and returns, it reports leaving, and its record lapses again
    And a late response to an earlier request reports a backoff, and the record returns
    Then it gets no requests, also after the backoff

  Scenario Outline: The header applies on each kind of response
    Given a gateway with two replicas per service
    When <answer> reports that its replica is leaving
    Then the gateway logs it at once, sends no more requests, and keeps no idle connection to it

    Examples:
      | answer                          |
      | a complete response             |
      | the head of a running stream    |
      | a failure of the replica        |
      | a refusal                       |
      | a truncated response            |
      | a run whose caller disconnected |

  Scenario Outline: A response that is not from the intended replica does not affect its state
    Given a gateway with two replicas per service
    When <answer> reports that its replica is leaving
    Then the gateway does not treat it as leaving

    Examples:
      | answer                        |
      | a 421                         |
      | a success without a signature |

  Scenario: A request is not sent to a chosen replica that reports leaving before the first byte
    Given a gateway that has chosen a replica for a request and is still connecting to it
    When another response reports that this replica is leaving before the first byte is sent
    Then the request goes to another replica without a second arrival, and its retry is returned

  Scenario: A request is not sent to a chosen replica whose record is removed before the first byte
    Given a gateway that has chosen a replica for a request and is still connecting to it
    When the record of this replica is removed before the first byte is sent
    Then the request is not sent, and the replica counts as no longer listed

  Scenario: A resumable stream is not resumed at a replica that is leaving
    Given a gateway with two replicas per service
    When one engine reports that it is leaving, and a stream breaks at the other one
    Then the leaving engine gets no part of the stream

  Scenario: If all replicas back off, callers are refused with the end of the first backoff
    Given a gateway with two replicas per service
    When both portal replicas ask for a backoff, one for 3 s and one for 60 s
    Then the next receipt is refused at once and not sent, with a Retry-After of 3 to 4 s
    And the trace of that receipt shows both replicas and the backoffs that they asked for

  Scenario: If all replicas are leaving, callers are refused at once
    Given a gateway with two replicas per service
    When both portal replicas report that they are leaving
    Then the next receipt is refused at once and not sent, with a Retry-After of 2 s

  Scenario: Metrics count the replicas that are leaving and backing off
    Given a gateway with two replicas per service
    When one portal replica reports that it is leaving, and the other one asks for a 60 s backoff
    Then the metrics show one replica that is leaving and one that is backing off

Feature: What a replica says of itself holds for its present start, by whichever way it came

  Scenario: A record that lapses and comes back takes nothing back
    Given a registry with a replica that said that it leaves, and one that asked for 3 s of rest
    When both records lapse and come back under the same start, and still read ready
    Then the first one gets nothing, and the second one nothing before its rest has ended

  Scenario: A notice that comes while the record has lapsed counts as well
    Given a registry with a replica that has said nothing
    When its record lapses, an answer of it says that it leaves, and the record comes back
    Then it gets nothing

  Scenario: Another start has said nothing
    Given a registry with a replica that said that it leaves, and one that asked for 3 s of rest
    When both start again under their ids, by a later time or a number that begins anew
    Then both take requests, and what an answer of the earlier start still says changes nothing

  Scenario: An answer without the header and peers that know nothing take nothing back
    Given a registry with a replica that said that it leaves, and one that asked for 3 s of rest
    When both give usual answers, and their records are written again
    Then the first one gets nothing, and the second one nothing before its rest has ended

  Scenario: A time of rest goes on while the machine is suspended
    Given a registry with a replica that said that it leaves, and one that asked for 3 s of rest
    When the machine is suspended for 3 s
    Then the second one takes requests again

  Scenario: A shorter rest does not cut a longer one, and the longest is ten minutes
    Given a registry with a replica that has said nothing
    When it asks for 3 s, then for 1 s, and once for 1e9 s
    Then its rest ends after the longest of these, or after ten minutes

  Scenario Outline: Of what stands in Retry-After only a time in seconds counts
    Given an answer with "<value>" in Retry-After
    Then the time that it asks for is <ms> ms

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

  Scenario: Whatever answers say, a start that leaves stays away and rests only grow
    Given any series of notices, lapses, returns and times
    Then no start is open once it has left, or before the end of the longest rest it asked for

  Scenario Outline: The header counts on each kind of answer
    Given a gateway with two replicas per service
    When <answer> says that its replica leaves
    Then the gateway tells so at once, sends it nothing more, and keeps no connection to it

    Examples:
      | answer                           |
      | a whole answer                   |
      | the head of a stream that runs   |
      | a failure of its own             |
      | a refusal                        |
      | an answer that is cut            |
      | a run whose caller has left      |

  Scenario Outline: What is not the word of the replica that was meant says nothing of it
    Given a gateway with two replicas per service
    When <answer> says that its replica leaves
    Then the gateway does not take it for one that leaves

    Examples:
      | answer                             |
      | a 421                              |
      | a success that nobody signed       |

  Scenario: A request that was chosen before the word came is not sent after it
    Given a gateway that has chosen a replica for a request, whose connection comes up slowly
    When another answer says that this replica leaves before the first byte has gone
    Then the request goes to the other one, without a second arrival, and a repeat is given back

  Scenario: A stream that may be resumed is not resumed at a replica that leaves
    Given a gateway with two replicas per service
    When one engine says that it leaves, and a stream breaks at the other one
    Then the one that leaves gets no part of it

  Scenario: Where all replicas rest, callers hear at once when the first one comes back
    Given a gateway with two replicas per service
    When both portal replicas ask for rest, one for 3 s and one for 60 s
    Then the next receipt is refused at once and not sent, with a time to come back of 3 to 4 s
    And the story of that receipt names both replicas and what they asked for

  Scenario: Where all replicas leave, callers are refused at once
    Given a gateway with two replicas per service
    When both portal replicas say that they leave
    Then the next receipt is refused at once and not sent, with a time to come back of 2 s

  Scenario: Figures tell how many replicas leave and rest
    Given a gateway with two replicas per service
    When one portal replica says that it leaves, and the other one asks for 60 s of rest
    Then the figures tell of one that leaves and one that rests

Feature: An accepted edit is in force everywhere and never reverts

  Scenario: Any edits, lost answers and late messages leave every follower on the accepted table
    When operators edit, answers are lost, the store goes down and old logs arrive, in any order
    Then no follower ever goes back, and in the end all have the rows that were accepted

  Scenario: A compaction that breaks off anywhere loses nothing
    Given a table whose log is about to be compacted
    When the store goes down after each of its next calls in turn
    Then after it is back the rows and the whole history are there

  Scenario: A follower that was away for long reads the snapshot
    Given a follower that has seen version 1
    When 40 more edits are accepted while it is away
    Then one look brings it to version 41 with the right rows

  Scenario: An edit whose answer was lost is accepted once
    Given a store that loses the answer of the next write
    When an operator adds a service
    Then the table has it at version 1 with one entry of history

  Scenario: A budget shard's stored form holds everything
    When any budget shards are written to their stored form and read again
    Then they are as they were

Feature: An accepted edit takes effect on every router and is never reverted

  Scenario: Followers converge on the accepted table despite lost responses and late messages
    When edits, lost store responses, store outages and outdated logs occur in any order
    Then no follower's version ever decreases, and in the end all followers have the accepted rows

  Scenario: A compaction that is interrupted at any call loses nothing
    Given a table whose log is about to be compacted
    When the store fails after 0 to 19 further calls, one run for each
    Then after its recovery the rows and the complete history are intact

  Scenario: A follower that missed many edits reads the snapshot
    Given a follower that has seen version 1
    When 40 more edits are accepted while it does not refresh
    Then one refresh brings it to version 41 with the right rows

  Scenario: An edit whose response was lost is accepted exactly once
    Given a store whose response to the next write is lost
    When an operator adds a service
    Then the table contains it at version 1 with one history entry

  Scenario: Encoding a budget shard for storage preserves every field
    When arbitrary budget shards are encoded for storage and decoded again
    Then the decoded shards equal the originals

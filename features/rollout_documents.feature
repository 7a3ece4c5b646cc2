Feature: A router keeps the newest document of a rollout and writes back what the store lost

  Scenario: An older copy never replaces a newer document
    Given a cache of documents that has read a completed rollout
    When a mirror of a restored store delivers the running document of before
    Then the completed document stays, and is to be written at the stored revision

  # The mirror's overlay of unconfirmed items would otherwise hide what another router has written.
  Scenario: A restored store that holds a newer document than this router knows
    Given a mirror that has read a running document
    When the store is restored with the completed document, which the mirror had not read
    Then the completed document is in force, and nothing is to be written

  Scenario: A document that the store has lost is written again
    Given a cache of documents that has read a completed rollout
    When a mirror of a restored store delivers no document
    Then the completed document stays, and is to be written at revision 0

  Scenario: An unreadable document is reported once and replaced by a new one
    Given an empty cache of documents
    When an unreadable document is delivered twice
    Then it is counted once, and a new document is to be written at its revision

  Scenario: The cache does not depend on the order in which documents arrive
    Then for any documents and any order of their arrival the newest one is in force

  Scenario: Orders are read only where key and value name the same service
    Then any bytes at the key of an order are either an order for its service or rejected

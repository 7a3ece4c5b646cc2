Feature: Non-urgent writes of accounts are grouped into one call

  Scenario: The writes of one sweep are made in one call
    Given a store that counts its calls
    When 8 writes are expected and arrive at about the same time
    Then all succeed with 1 call

  Scenario: An urgent write does not wait for expected writes
    Given a store that counts its calls
    When 8 writes are expected and only an urgent one arrives
    Then it is made before the group window ends

  Scenario: A write whose condition fails does not affect the others
    Given a store that counts its calls
    When 3 writes are grouped and one item has changed before
    Then that write fails with the current item, and the others succeed

  Scenario: A lost response leaves the outcome of all writes in the call unknown
    Given a store that loses its response
    When 3 writes are expected and arrive at about the same time
    Then all fail with an unknown outcome

  Scenario: More writes than fit into one call are split into several
    Given a store that counts its calls
    When 20 writes are expected and arrive at about the same time
    Then all succeed with 2 calls

  Scenario: An unexpected exception in a call fails all its writes
    Given a store whose client raises an unexpected exception
    When 3 writes are expected and arrive at about the same time
    Then no writer is left waiting

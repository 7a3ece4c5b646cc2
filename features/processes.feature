Feature: The daemons run as separate processes

  Scenario: A small fleet serves, is edited, and stops as planned
    Given a store, an instance list, an engine, a service, agents and two routers as processes
    When the table is imported with the command line
    Then a stream and a plain call are answered through each router
    And the invoice of the account shows them once
    And SIGTERM ends a router and an agent with exit code 0

  Scenario: A router that gets wrong settings says what is wrong
    When a router is started with a bad address
    Then it exits with code 2 and names file, section, key and the accepted form

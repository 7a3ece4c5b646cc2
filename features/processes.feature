Feature: The daemons run as separate processes

  Scenario: A small fleet serves requests, applies an edited table and shuts down as planned
    Given a store, an instance list, an engine, a service, agents and two routers as processes
    When the table is imported with the command line
    Then a stream and a plain call are answered through each router
    And the invoice of the account shows them once
    And SIGTERM ends a router and an agent with exit code 0

  Scenario: A router with invalid settings reports the location of the error
    When a router is started with an invalid address
    Then it exits with code 2 and names file, section, key and the accepted format

Feature: Clients outside of the operator's control neither exhaust a router nor keep others out

  Scenario Outline: The bodies of requests stayed in memory after replicas <did>
    Given a gateway with 96 MB of memory and 256 threads
    When 20 large bodies are sent one after the other to replicas that <do>
    Then the gateway runs, within its memory and descriptors
    And its memory is given back

    Examples:
      | did                 | do               |
      | answered            | long for a crowd |
      | refused             | refuse           |
      | lost them           | lose             |
      | broke off answers   | end early        |
      | answered in garbage | garbage          |

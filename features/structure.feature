Feature: The code keeps to its borders

  Scenario: Only the platform's folder knows the platform's names
    When the sources outside the platform's folder are searched for its names
    Then none is found

  Scenario: The platform's folder is small and decides nothing that others do
    When the imports of the platform's folder are read
    Then nothing but the place where a gateway is put together imports it
    And it has no threads, clocks of its own, or chance

  Scenario: No bound or size of one deployment stands in the code
    When the sources are searched for the figures of the deployments
    Then settings and configuration are the only place they come from

  Scenario: Every page and script that is named exists
    When the pages, the deploy files and the sources are searched for the files that they name
    Then each of those files is there

Feature: The source tree keeps its module boundaries

  Scenario: Only the platform package uses the platform's names
    When the sources outside the platform package are searched for the platform's names
    Then none is found

  Scenario: The platform package is small and only translates
    When the imports of the platform package are collected
    Then only the module that assembles a gateway imports the package
    And it imports no threads, clocks or random numbers

  Scenario: No limit or size of one deployment is hard-coded
    When the sources are searched for the numbers of the deployments
    Then no source file contains one

  Scenario: Every page and script that is referred to exists
    When the pages, the deploy files and the sources are searched for file references
    Then each of those files exists

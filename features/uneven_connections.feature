Feature: A router that gets most new connections serves them

  Scenario: Requests are served while nine of ten new connections reach one router
    Given four gateways with eight replicas per service
    When 60 requests a second arrive on new connections, after 2 s mostly at one gateway
    Then at least three quarters as many of them are served as before

Feature: Other replicas serve the requests of one that is leaving or backing off

  # Guards against deciding availability by the record alone. While the store was unavailable, the
  # record of a replica could not show for 12.8 s that it was leaving; its responses did. Routers
  # that had relayed such responses sent it requests 2,476 ms and 5,262 ms later, where 2,000 ms are
  # allowed. With four routers, 95 receipts and 60 streams in 9 s arrived too late.
  Scenario: A replica that reports leaving in responses gets no requests, whatever its record
    Given four gateways that share retries and four replicas of each service
    When for 6 s one replica of each service reports that it is leaving, and its record does not
    Then no gateway that relayed the report sends it requests that callers sent over 2 s later
    And every retryable request was answered

  # Guards against ignored backoffs. Two of six replicas refused requests for 8 s and asked for a
  # backoff of 3 s each time, but a router sent 7 requests within one backoff, where two are
  # allowed. Refusals arrived after 1 to 8 ms and counted as fast responses, so that the slowness
  # of a replica fell from 0.81 to 0.37 and it was preferred to four idle ones.
  Scenario: Requests go to idle replicas while another one asks for a backoff
    Given four gateways that share retries and four replicas of each service
    When for 6 s one replica of each service refuses requests and asks for a backoff
    Then no gateway sends it more than two requests from half a second into a backoff to its end
    And every retryable request was answered

  Scenario: A replica that refuses requests without asking for a backoff does not attract them
    Given four gateways that share retries and four replicas of each service
    When for 6 s one replica of each service refuses requests
    Then every retryable request was answered

  # Guards against counting every relayed response as a success. A replica that failed all requests
  # at once kept attracting those that must not be executed twice.
  Scenario: A replica that fails non-retryable requests does not attract them
    Given a gateway with two replicas per service
    When one portal replica fails all requests, and 40 statuses are requested one after the other
    Then the failing one got at most a tenth of them, and callers received its failures unchanged

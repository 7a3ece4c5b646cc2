Feature: A broken response is a failure wherever responses are read

  Scenario: A malformed head from a replica is an explicit error to a non-retryable call
    Given a gateway with one replica per service
    When a status is requested for each malformed head
    Then each caller receives a complete response 502 without a replica's signature

  Scenario: A retryable call whose response has a malformed head is retried at another replica
    Given a gateway with two replicas per service
    When a receipt is requested for each malformed head of a first response
    Then each caller receives the other replica's complete response

  Scenario: A stream whose response has a malformed head is retried at another replica
    Given a gateway with two replicas per service
    When a score is requested for each malformed head of a first response
    Then each caller receives every event once in one complete response

  Scenario: A stream that may not be repeated fails if its response has a malformed head
    Given a gateway with one replica per service
    When a review is requested for each malformed head
    Then each caller receives a complete response 502 without a replica's signature

  Scenario: Unusual heads that are well-formed are passed on
    Given a gateway with one replica per service
    When a status is requested for each unusual head
    Then each caller receives the replica's whole body with the status and the fields of the head

  # The parser of the library dropped all fields behind a malformed line: a length, or the era of
  # the store.
  Scenario Outline: A malformed head of the response to a call is an error of the call
    Given a server that answers a <call>
    When the call is made for each malformed and each unusual head
    Then each malformed head is an error of kind <kind>, and the others are accepted

    Examples:
      | call                             | kind              |
      | read of the store                | store_unavailable |
      | list of the store                | store_unavailable |
      | watch of the store               | store_unavailable |
      | write to the store               | outcome_unknown   |
      | fetch of another router's mirror | store_unavailable |
      | close of a witnessed session     | store_unavailable |
      | read of an etcd store            | store_unavailable |
      | watch of an etcd store           | store_unavailable |
      | write to an etcd store           | outcome_unknown   |
      | list of the instances            | store_unavailable |
      | run at a plain upstream          | upstream_failed   |
      | run at an engine                 | upstream_failed   |

  Scenario Outline: A response without a length that is reset is an error of the call
    Given a server that answers a <call>
    When the response to the call has no length and is reset 20 times
    Then each call is an error of kind <kind>

    Examples:
      | call                             | kind              |
      | read of the store                | store_unavailable |
      | list of the store                | store_unavailable |
      | watch of the store               | store_unavailable |
      | write to the store               | outcome_unknown   |
      | long write to the store          | outcome_unknown   |
      | fetch of another router's mirror | store_unavailable |
      | close of a witnessed session     | store_unavailable |
      | read of an etcd store            | store_unavailable |
      | watch of an etcd store           | store_unavailable |
      | write to an etcd store           | outcome_unknown   |
      | list of the instances            | store_unavailable |
      | run at a plain upstream          | upstream_failed   |
      | long run at a plain upstream     | upstream_failed   |
      | run at an engine                 | upstream_failed   |

  # A write whose response was lost in this way counted as not made.
  Scenario Outline: A response to a call whose body can't be decoded is an error of the call
    Given a server that answers a <call>
    When the response to the <call> has a body that can't be decoded
    Then each call is an error of kind <kind>

    Examples:
      | call                             | kind              |
      | read of the store                | store_unavailable |
      | list of the store                | store_unavailable |
      | watch of the store               | store_unavailable |
      | write to the store               | outcome_unknown   |
      | fetch of another router's mirror | store_unavailable |
      | close of a witnessed session     | store_unavailable |
      | read of an etcd store            | store_unavailable |
      | write to an etcd store           | outcome_unknown   |

  Scenario: Malformed chunks of a response to a call are an error of the call
    Given a server that answers a run at a plain upstream
    When the response to the call has malformed chunks
    Then each call is an error of kind upstream_failed

  Scenario: A list that the store does not find is not an empty list
    Given a server that answers a list of the store
    When the response to the call has status 404 and the body {}
    Then each call is an error of kind store_unavailable

  Scenario: A write that an etcd store answers with an error may have been made
    Given a server that answers a write to an etcd store
    When the response to the call has status 504 and the body {}
    Then each call is an error of kind outcome_unknown

  # A gateway that did not see the store's era took its own view of the store as outdated.
  Scenario: Malformed heads from the store count as an outage, not as answers
    Given a gateway with one replica per service
    When the store's heads have a "blank in a name" for a while, and a gateway starts meanwhile
    Then no gateway takes its view of the store as outdated, and a new route is in force at each

  Scenario: A malformed head is a clear error of the command line
    Given a server that answers the command line
    When the status is printed for each malformed head
    Then each command ends with an error of one line, and prints no body

"""The interfaces that a deployment implements for the gateway."""

from typing import Protocol

from aspengate.configuration import FleetConfiguration
from aspengate.gateway._request import CallerRequest
from aspengate.replicas import Evacuation, Replica
from aspengate.rollouts import RolloutDocument, RolloutOrder
from aspengate.serving import ReceivedRequest
from aspengate.store import KeyValueStore, Put, StoreItem

Headers = tuple[tuple[str, str], ...]


class HeaderCodec(Protocol):
    """Converts requests and responses to and from the deployment's HTTP headers."""

    def parse_request(self, received: ReceivedRequest) -> CallerRequest:
        """Parse a received request; raises BAD_REQUEST."""

    def replica_headers(
        self,
        request: CallerRequest,
        *,
        identity: str,
        account: str,
        remaining_ms: float,
        priority: int | None,
        last_event_id: str,
    ) -> Headers:
        """Return the headers of a request to the replica ``identity``."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of a replica's response that are passed on to the caller."""

    def matches_request(self, headers: Headers, request_id: str) -> bool:
        """Return whether a response carries this request's id."""

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether a response states that the replica did not run the request."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether the response comes from a replica other than the addressed one."""

    def is_signed(self, headers: Headers) -> bool:
        """Return whether a response carries a replica's signature."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether a response announces that its replica is shutting down."""

    def rate_limit(self, headers: Headers) -> float | None:
        """Return the replica's rate limit in a response, in requests per second of all routers.

        None if it states no limit; raises BAD_REQUEST if the limit can't be parsed.
        """

    def error_headers(self, request_id: str) -> Headers:
        """Return the headers of an error response that the gateway itself makes."""


class Deployment(Protocol):
    """The environment of a gateway: its store, the records in it, and its header codec.

    The operator writes below ``operator_prefix``, with the configuration at ``configuration_key``;
    replicas write below ``replica_prefix``.
    """

    operator_prefix: str
    configuration_key: str
    replica_prefix: str

    @property
    def store(self) -> KeyValueStore:
        """The store that holds all persistent state."""

    @property
    def header_codec(self) -> HeaderCodec:
        """The codec for the headers of requests and responses."""

    def read_configuration(self, item: StoreItem) -> FleetConfiguration:
        """Decode the configuration in a store item; raises BAD_REQUEST."""

    def read_evacuation(self, item: StoreItem) -> Evacuation | None:
        """Return the evacuation that a store item requests; None for items of other kinds."""

    def read_rollout(self, item: StoreItem) -> RolloutOrder | None:
        """Return the rollout that an item orders; None for other items; raises BAD_REQUEST."""

    def rollout_status(self, document: RolloutDocument) -> Put:
        """Return the write that reports the state of a rollout to the operator."""

    def read_replica(self, item: StoreItem) -> Replica:
        """Decode the replica in a store item; raises BAD_REQUEST."""

    def read_order(self, item: StoreItem) -> tuple[int, ...] | None:
        """Return a sort key that rises with each write of an item; None if its writer has none."""

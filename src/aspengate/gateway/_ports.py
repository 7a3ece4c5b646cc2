"""What the gateway needs of the place that it runs in."""

from typing import Protocol

from aspengate.configuration import FleetConfiguration
from aspengate.gateway._request import CallerRequest
from aspengate.replicas import Evacuation, Replica
from aspengate.serving import ReceivedRequest
from aspengate.store import KeyValueStore, StoreItem

Headers = tuple[tuple[str, str], ...]


class HeaderCodec(Protocol):
    """Reads callers' requests and writes replicas' requests in the deployment's own headers."""

    def parse_request(self, received: ReceivedRequest) -> CallerRequest:
        """Return what a received request says; raises BAD_REQUEST."""

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
        """Return the headers with which the replica ``identity`` gets a request."""

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of a replica's answer that its caller is to get."""

    def matches_request(self, headers: Headers, request_id: str) -> bool:
        """Return whether an answer names the request as its own."""

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether a replica says that it did not run the request."""

    def is_misdirected(self, status: int) -> bool:
        """Return whether another replica than the one that was meant answered."""

    def is_signed(self, headers: Headers) -> bool:
        """Return whether an answer carries a replica's signature."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether an answer says that its replica is going to end."""

    def rate_limit(self, headers: Headers) -> float | None:
        """Return how many requests a second an answer's replica takes from all routers together.

        None where it names no limit; raises BAD_REQUEST where what it names can't be read.
        """

    def error_headers(self, request_id: str) -> Headers:
        """Return headers for an answer of the gateway's own."""


class Deployment(Protocol):
    """The place that a gateway runs in: its store, its records there, and its header codec.

    All that the operator writes lies below ``operator_prefix``, the configuration under
    ``configuration_key``; the replicas write below ``replica_prefix``.
    """

    operator_prefix: str
    configuration_key: str
    replica_prefix: str

    @property
    def store(self) -> KeyValueStore:
        """The store that holds all that must last."""

    @property
    def header_codec(self) -> HeaderCodec:
        """How requests and answers are spelt."""

    def read_configuration(self, item: StoreItem) -> FleetConfiguration:
        """Return the configuration that a store item holds; raises BAD_REQUEST."""

    def read_evacuation(self, item: StoreItem) -> Evacuation | None:
        """Return the evacuation that a store item asks for, None where it is another item."""

    def read_replica(self, item: StoreItem) -> Replica:
        """Return the replica that a store item holds; raises BAD_REQUEST."""

    def read_order(self, item: StoreItem) -> tuple[int, ...] | None:
        """Return how an item's writer orders what it writes there; None where it does not."""

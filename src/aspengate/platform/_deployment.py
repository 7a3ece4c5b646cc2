"""The users' platform as a place for the product to run in."""

from aspengate.clock import Clock
from aspengate.configuration import FleetConfiguration
from aspengate.platform._client import PlatformStore
from aspengate.platform._headers import PlatformHeaderCodec
from aspengate.platform._records import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    REPLICA_PREFIX,
    read_configuration,
    read_evacuation,
    read_order,
    read_replica,
)
from aspengate.replicas import Evacuation, Replica
from aspengate.store import KeyValueStore, StoreItem


class PlatformDeployment:
    """The platform whose store is at ``address``; ``timeout_ms`` bounds each call to it."""

    operator_prefix = OPERATOR_PREFIX
    configuration_key = CONFIGURATION_KEY
    replica_prefix = REPLICA_PREFIX

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self.store: KeyValueStore = PlatformStore(address, timeout_ms, clock)
        self.header_codec = PlatformHeaderCodec()

    def read_configuration(self, item: StoreItem) -> FleetConfiguration:
        """Return the configuration that a store item holds; raises BAD_REQUEST."""
        return read_configuration(item)

    def read_evacuation(self, item: StoreItem) -> Evacuation | None:
        """Return the evacuation that a store item asks for, None where it is another item."""
        return read_evacuation(item)

    def read_replica(self, item: StoreItem) -> Replica:
        """Return the replica that a store item holds; raises BAD_REQUEST."""
        return read_replica(item)

    def read_order(self, item: StoreItem) -> tuple[int, ...] | None:
        """Return how an item's writer orders what it writes there; None where it does not."""
        return read_order(item)

"""The deployment of a gateway on the users' platform."""

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
    read_rollout,
    rollout_status,
)
from aspengate.replicas import Evacuation, Replica
from aspengate.rollouts import RolloutDocument, RolloutOrder
from aspengate.store import KeyValueStore, Put, StoreItem


class PlatformDeployment:
    """Implements ``Deployment`` with the store at ``address``; ``timeout_ms`` bounds each call."""

    operator_prefix = OPERATOR_PREFIX
    configuration_key = CONFIGURATION_KEY
    replica_prefix = REPLICA_PREFIX

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self.store: KeyValueStore = PlatformStore(address, timeout_ms, clock)
        self.header_codec = PlatformHeaderCodec()

    def read_configuration(self, item: StoreItem) -> FleetConfiguration:
        """Decode the configuration in a store item; raises BAD_REQUEST."""
        return read_configuration(item)

    def read_evacuation(self, item: StoreItem) -> Evacuation | None:
        """Return the evacuation that a store item requests; None for items of other kinds."""
        return read_evacuation(item)

    def read_rollout(self, item: StoreItem) -> RolloutOrder | None:
        """Return the rollout that an item orders; None for other items; raises BAD_REQUEST."""
        return read_rollout(item)

    def rollout_status(self, document: RolloutDocument) -> Put:
        """Return the write that reports the state of a rollout to the operator."""
        return rollout_status(document)

    def read_replica(self, item: StoreItem) -> Replica:
        """Decode the replica in a store item; raises BAD_REQUEST."""
        return read_replica(item)

    def read_order(self, item: StoreItem) -> tuple[int, ...] | None:
        """Return a sort key that rises with each write of an item; None if its writer has none."""
        return read_order(item)

"""Applies what the operator and the replicas write to the store."""

from aspengate.configuration import ConfigurationHolder
from aspengate.errors import AspengateError
from aspengate.gateway._ports import Deployment
from aspengate.gateway._unreadable import UnreadableItems
from aspengate.gateway.prepaid import LimitSource
from aspengate.gateway.rollouts import Rollouts
from aspengate.gateway.streams import StreamDirectory
from aspengate.replicas import ReplicaRegistry
from aspengate.store import MirrorState, StoreItem
from aspengate.telemetry import Counters


class StoreReader:
    """Decodes store items into the configuration and the list of replicas.

    ``deployment`` defines the format of the items. An unreadable item is logged once; the previous
    configuration then stays in effect. ``streams`` receives the versions of replicas, as does
    ``rollouts`` with the orders of rollouts; the latter is None if rollouts are disabled.
    """

    def __init__(
        self,
        deployment: Deployment,
        holder: ConfigurationHolder,
        registry: ReplicaRegistry,
        counters: Counters,
        streams: StreamDirectory,
        rollouts: Rollouts | None = None,
    ) -> None:
        self._streams = streams
        self._rollouts = rollouts
        self._deployment = deployment
        self._holder = holder
        self._registry = registry
        self._unreadable = UnreadableItems(counters)
        # The revision of the last configuration that was read, whether it was accepted or not.
        self._configuration_read = 0

    def load_operator_items(self, state: MirrorState) -> None:
        """Apply the operator's items, evacuations first so that no request precedes them."""
        found = (self._deployment.read_evacuation(item) for item in state.items.values())
        self._registry.set_evacuations(each for each in found if each is not None)
        if self._rollouts is not None:
            self._rollouts.load_orders(state)
        item = state.items.get(self._deployment.configuration_key)
        if item is not None:
            self._load_configuration(item)

    def load_replicas(self, state: MirrorState) -> None:
        """Replace the list of replicas; omit those whose record can't be read."""
        replicas = []
        for item in state.items.values():
            try:
                replicas.append(self._deployment.read_replica(item))
            except AspengateError as error:
                self._unreadable.report("replica", item, error)
        if self._rollouts is not None:
            self._rollouts.handle_replicas(replicas, is_first=not self._registry.revision)
        self._streams.handle_replicas(replicas)
        self._registry.update(replicas, state.revision)

    def limit_of(self, account: str) -> LimitSource | None:
        """Return an account's prepaid limit; None if it has none or no configuration is loaded."""
        if not self._holder.is_configured:
            return None
        configuration = self._holder.current
        found = configuration.accounts_by_name.get(account)
        if found is None or found.prepaid_tokens is None:
            return None
        return LimitSource(found.prepaid_tokens, configuration.revision)

    def _load_configuration(self, item: StoreItem) -> None:
        if item.revision == self._configuration_read:
            return
        self._configuration_read = item.revision
        try:
            self._holder.apply_if_newer(self._deployment.read_configuration(item))
        except AspengateError as error:
            self._unreadable.report("configuration", item, error)

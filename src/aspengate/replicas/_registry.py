"""The replicas of each service that are listed."""

import threading
from collections.abc import Callable, Collection, Iterable

from aspengate.clock import Clock
from aspengate.replicas._replica import Replica, ReplicaState
from aspengate.replicas._view import ReplicaView
from aspengate.telemetry import log_change


class ReplicaRegistry:
    """All replicas that are listed; ``on_gone`` is called with the id of each that left."""

    def __init__(self, clock: Clock, on_gone: Callable[[str], None]) -> None:
        self.clock = clock
        self.revision = 0
        self._views: dict[str, ReplicaView] = {}
        self._on_gone = on_gone
        self._lock = threading.Lock()

    def update(self, replicas: Iterable[Replica], revision: int = 0) -> None:
        """Take over the list of replicas as of the store's ``revision``."""
        listed = {replica.identity: replica for replica in replicas}
        with self._lock:
            self.revision = revision
            gone = [self._views.pop(each) for each in set(self._views) - set(listed)]
            for replica in listed.values():
                self._take(replica)
        for view in gone:
            log_change("replica.gone", replica=view.identity, revision=revision)
            self._on_gone(view.identity)

    def ready(self, service: str, excluded: Collection[str] = ()) -> list[ReplicaView]:
        """Return the views of a service's replicas that take new requests."""
        with self._lock:
            return [
                view
                for view in self._views.values()
                if view.replica.service == service
                and view.replica.state is ReplicaState.READY
                and view.identity not in excluded
            ]

    def _take(self, replica: Replica) -> None:
        view = self._views.get(replica.identity)
        if view is None:
            self._views[replica.identity] = ReplicaView(replica)
            log_change(
                "replica.listed",
                replica=replica.identity,
                service=replica.service,
                address=replica.address,
                state=replica.state.value,
                revision=self.revision,
            )
            return
        if view.replica.state is not replica.state:
            log_change(
                "replica.state",
                replica=replica.identity,
                state=replica.state.value,
                revision=self.revision,
            )
        view.replica = replica

"""The replicas of each service with what this router knows of each."""

import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.replicas._replica import Replica, ReplicaState
from aspengate.telemetry import log_change


@dataclass
class ReplicaView:
    """A replica and this router's own experience with it; changed under the registry's lock.

    ``backlog_ms`` is about how long the replica takes to read the prompts of this router's
    requests that have no first token yet.
    """

    replica: Replica
    in_flight: int = 0
    backlog_ms: float = 0.0
    failures: int = 0
    ejected_until_ms: float = 0.0
    listed: bool = True
    gone_ms: float = 0.0

    @property
    def identity(self) -> str:
        """The replica's own id."""
        return self.replica.identity


class ReplicaRegistry:
    """All replicas that are listed, by service."""

    def __init__(self, clock: Clock, on_gone: Callable[[str], None]) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self._views: dict[str, ReplicaView] = {}
        self._on_gone = on_gone

    def update(self, replicas: Iterable[Replica]) -> None:
        """Take over the list of replicas."""
        listed = {replica.identity: replica for replica in replicas}
        gone = []
        with self.lock:
            for identity in set(self._views) - set(listed):
                gone.append(self._views.pop(identity))
            for identity, replica in listed.items():
                view = self._views.get(identity)
                if view is None:
                    self._views[identity] = ReplicaView(replica)
                    log_change(
                        "replica.listed",
                        replica=identity,
                        service=replica.service,
                        address=replica.address,
                        state=replica.state.value,
                    )
                elif view.replica != replica:
                    if view.replica.state is not replica.state:
                        log_change("replica.state", replica=identity, state=replica.state.value)
                    view.replica = replica
        for view in gone:
            log_change("replica.gone", replica=view.identity)
            self._on_gone(view.identity)

    def ready(self, service: str, excluded: Collection[str] = ()) -> list[ReplicaView]:
        """Return the views of a service's replicas that take new requests."""
        with self.lock:
            return [
                view
                for view in self._views.values()
                if view.replica.service == service
                and view.replica.state is ReplicaState.READY
                and view.identity not in excluded
            ]

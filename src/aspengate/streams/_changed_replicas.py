"""The replicas that have changed their version under their ids, as one router has seen it."""

import threading
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.replicas import Replica

# Limit on the changes that are kept, and thereby on those in one message.
_MAX_CHANGES = 256


@dataclass(frozen=True)
class ChangedReplica:
    """A replica of a service that has had ``version`` since ``age_ms`` before, by its record."""

    replica: str
    version: str
    age_ms: float


class ChangedReplicas:
    """Holds the latest change of the version of each replica; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._changed: OrderedDict[str, tuple[Replica, float]] = OrderedDict()
        self._lock = threading.Lock()

    def record(self, replicas: Iterable[Replica]) -> None:
        """Record replicas with their new versions."""
        now = self.clock.monotonic_ms()
        with self._lock:
            for replica in replicas:
                self._changed[replica.identity] = (replica, now)
                self._changed.move_to_end(replica.identity)
            while len(self._changed) > _MAX_CHANGES:
                self._changed.popitem(last=False)

    def of_service(self, service: str, within_ms: float) -> list[ChangedReplica]:
        """Return the replicas of a service that have changed within a time up to now."""
        now = self.clock.monotonic_ms()
        with self._lock:
            changed = list(self._changed.values())
        return [
            ChangedReplica(replica.identity, replica.version, now - at_ms)
            for replica, at_ms in changed
            if replica.service == service and now - at_ms <= within_ms
        ]

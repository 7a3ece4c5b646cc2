"""Selects the router from which to request a permit, and delays repeated requests."""

import threading
from collections import OrderedDict
from collections.abc import Mapping

from aspengate.clock import Clock
from aspengate.fleet_permits import RouterShares
from aspengate.replicas import ReplicaView

# The delay before a router that did not reply is asked again, in ms.
_UNRESPONSIVE_BACKOFF_MS = 1_000.0
# The delay before a holder that can't determine when a permit is ready is asked again, in ms.
_UNKNOWN_READY_MS = 200.0
# The maximum number of remembered replies: one for each holder and replica that this router uses.
_MAX_REPLIES = 10_000


class PermitHolders:
    """Finds the routers that hold permits for rate-limited replicas, based on their replies."""

    def __init__(self, shares: RouterShares, clock: Clock) -> None:
        self.shares = shares
        self._clock = clock
        self._backoff_until_ms: dict[str, float] = {}
        self._ready_ms: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._lock = threading.Lock()

    def holder_of(self, view: ReplicaView) -> str:
        """Return the router from which to request a permit for a replica, or an empty string.

        It is the router that ranks first, which holds most permits, or the second one while the
        first does not reply or has no permit.
        """
        replica = view.identity
        with self._lock:
            now = self._clock.monotonic_ms()
            for router in self.shares.top_ranked(replica):
                is_backing_off = self._backoff_until_ms.get(router, now) > now
                is_early = self._ready_ms.get((router, replica), now) > now
                if router != self.shares.own and not is_backing_off and not is_early:
                    return router
        return ""

    def ready_in_ms(self, view: ReplicaView) -> float | None:
        """Return the reported time until a holder has a permit, in ms, or None if it is unknown."""
        with self._lock:
            now = self._clock.monotonic_ms()
            keys = [(router, view.identity) for router in self.shares.top_ranked(view.identity)]
            waits = [self._ready_ms[key] - now for key in keys if key in self._ready_ms]
        return min((each for each in waits if each > 0), default=None)

    def record_unresponsive(self, router: str) -> None:
        """Record that a router did not reply."""
        with self._lock:
            self._backoff_until_ms[router] = self._clock.monotonic_ms() + _UNRESPONSIVE_BACKOFF_MS

    def record_reply(self, router: str, ready_in_ms: Mapping[str, float]) -> None:
        """Record the times until a router has permits for replicas, in ms; negative if unknown."""
        with self._lock:
            now = self._clock.monotonic_ms()
            self._backoff_until_ms.pop(router, None)
            for replica, in_ms in ready_in_ms.items():
                wait_ms = _UNKNOWN_READY_MS if in_ms < 0 else in_ms
                self._ready_ms[router, replica] = now + wait_ms
                self._ready_ms.move_to_end((router, replica))
            while len(self._ready_ms) > _MAX_REPLIES:
                self._ready_ms.popitem(last=False)

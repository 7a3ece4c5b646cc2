"""Which router is asked for a permit, and which is not asked again yet."""

import threading
from collections import OrderedDict
from collections.abc import Mapping

from aspengate.clock import Clock
from aspengate.fleet_permits import RouterShares
from aspengate.replicas import ReplicaView

# A router that did not answer is asked again after so long, in ms.
_SILENT_MS = 1_000.0
# Where it is not known when a permit is ready, its holder is asked again after so long, in ms.
_UNKNOWN_MS = 200.0
# So many answers are remembered: of each holder the replicas that one router sends to.
_MOST_REMEMBERED = 10_000


class PermitHolders:
    """Finds who holds permits for limited replicas, by what other routers have answered."""

    def __init__(self, shares: RouterShares, clock: Clock) -> None:
        self.shares = shares
        self._clock = clock
        self._silent_until_ms: dict[str, float] = {}
        self._ready_ms: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._lock = threading.Lock()

    def holder_of(self, view: ReplicaView) -> str:
        """Return the router to ask for a permit for a replica; empty where there is none.

        It is the one that ranks first, which holds most permits, or the next one while that does
        not answer or has none.
        """
        replica = view.identity
        with self._lock:
            now = self._clock.monotonic_ms()
            for router in self.shares.top_ranked(replica):
                is_silent = self._silent_until_ms.get(router, now) > now
                is_early = self._ready_ms.get((router, replica), now) > now
                if router != self.shares.own and not is_silent and not is_early:
                    return router
        return ""

    def ready_in_ms(self, view: ReplicaView) -> float | None:
        """Return when a replica's holders have a permit, as they said; None where none did."""
        with self._lock:
            now = self._clock.monotonic_ms()
            keys = [(router, view.identity) for router in self.shares.top_ranked(view.identity)]
            told = [self._ready_ms[key] - now for key in keys if key in self._ready_ms]
        return min((each for each in told if each > 0), default=None)

    def record_unresponsive(self, router: str) -> None:
        """Note that a router did not answer."""
        with self._lock:
            self._silent_until_ms[router] = self._clock.monotonic_ms() + _SILENT_MS

    def record_reply(self, router: str, ready_in_ms: Mapping[str, float]) -> None:
        """Note when a router has a permit for each replica; negative for not known."""
        with self._lock:
            now = self._clock.monotonic_ms()
            self._silent_until_ms.pop(router, None)
            for replica, in_ms in ready_in_ms.items():
                wait_ms = _UNKNOWN_MS if in_ms < 0 else in_ms
                self._ready_ms[router, replica] = now + wait_ms
                self._ready_ms.move_to_end((router, replica))
            while len(self._ready_ms) > _MOST_REMEMBERED:
                self._ready_ms.popitem(last=False)

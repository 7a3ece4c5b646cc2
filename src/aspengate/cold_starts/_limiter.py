"""Decides which replicas may get one more request while some of them are cold.

Load pattern: a failure domain's replicas come back cold while callers press, or one prompt is
much asked for. The empty replicas are the cheapest choice of every router at once, get more than
twice what they bear, and fall over.
"""

import enum
import threading
from collections import defaultdict, deque
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.cold_starts._policy import ColdStartPolicy
from aspengate.configuration import Service
from aspengate.fleet_permits import FleetPermits, Permit, RouterShares, WindowBound
from aspengate.replicas import ReplicaView


class Connectivity(enum.Enum):
    """What a router can know of replicas that have just become cold.

    ``CURRENT``: it hears of each change in the store. ``PEERS``: it does not, but hears what the
    other routers send where. ``NONE``: neither.
    """

    CURRENT = "current"
    PEERS = "peers"
    NONE = "none"


class ColdStartLimiter:
    """Keeps what all routers together send to a cold replica within the policy.

    A replica that is known to be cold gets requests only by this router's part of its permits. A
    router that does not hear of changes can't know which replicas are cold: it holds the rate of
    every one, by what it sends and hears, to what a cold one bears; where it hears of nobody, it
    sends by permits alone. ``connectivity`` tells which holds.
    """

    def __init__(
        self,
        policy: ColdStartPolicy,
        shares: RouterShares,
        clock: Clock,
        connectivity: Callable[[], Connectivity],
    ) -> None:
        self.policy = policy
        self.permits = FleetPermits(shares, clock, start_ms=policy.start_ms)
        self.connectivity = connectivity
        self._clock = clock
        self._heard: dict[str, deque[float]] = defaultdict(deque)
        self._lock = threading.Lock()

    def record_peer_request(self, replica: str) -> None:
        """Count a request of another router."""
        with self._lock:
            self._heard[replica].append(self._clock.monotonic_ms())

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone, but not what it got within the window.

        Its entry may have lapsed and come back under the same id.
        """
        self.permits.forget(replica)
        with self._lock:
            for each in list(self._heard):
                if not self._count_heard(each):
                    del self._heard[each]

    def eligible(self, views: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return those of a service's replicas that may get one more request now, in a new list.

        While none may be cold, which is nearly always, nothing is counted for each replica.
        """
        if not service.cold_per_second:
            return list(views)
        connectivity = self.connectivity()
        now = self._clock.monotonic_ms()
        if connectivity is Connectivity.CURRENT and not any(
            view.is_cold(now, service.cold_start_ms) for view in views
        ):
            return list(views)
        bound = self.policy.bound(service.cold_per_second)
        return [
            view
            for view in views
            if self.permits.count_in_window(view.identity, bound)
            < self._part(view, service, bound, connectivity, now)
        ]

    def acquire(self, view: ReplicaView, service: Service) -> Permit | None:
        """Count one more request to a replica; None where it may get none after all."""
        if not service.cold_per_second:
            return Permit.unlimited()
        bound = self.policy.bound(service.cold_per_second)
        now = self._clock.monotonic_ms()
        part = self._part(view, service, bound, self.connectivity(), now)
        return self.permits.acquire(view.identity, bound, share=part)

    def _part(
        self,
        view: ReplicaView,
        service: Service,
        bound: WindowBound,
        connectivity: Connectivity,
        now: float,
    ) -> float:
        """Return how many requests of this router may count at a replica at any time."""
        if connectivity is Connectivity.NONE or view.is_cold(now, service.cold_start_ms):
            return self.permits.share(view.identity, bound)
        if connectivity is Connectivity.PEERS:
            with self._lock:
                return bound.permits - self._count_heard(view.identity)
        return float("inf")

    def _count_heard(self, replica: str) -> int:
        """Return how many requests of other routers count now; call it with the lock held."""
        heard = self._heard[replica]
        oldest_ms = self._clock.monotonic_ms() - self.policy.window_ms
        while heard and heard[0] < oldest_ms:
            heard.popleft()
        return len(heard)

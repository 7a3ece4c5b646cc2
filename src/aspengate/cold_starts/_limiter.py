"""Decides which replicas may receive another request while some of them are cold.

Without a limit, the empty replicas are the cheapest choice of every router at once if a failure
domain's replicas come back cold under load, or if many requests have the same prompt. They then
receive more than twice the load that they can handle, and crash.
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
    """From where a router learns about replicas that have just become cold.

    ``CURRENT``: it receives each change in the store. ``PEERS``: it does not, but the other routers
    report to which replicas they send requests. ``NONE``: neither.
    """

    CURRENT = "current"
    PEERS = "peers"
    NONE = "none"


class ColdStartLimiter:
    """Keeps the requests of all routers to a cold replica within the policy.

    A replica that is known to be cold receives requests only within this router's share of its
    permits. A router that receives no changes from the store can't determine which replicas are
    cold. It then keeps the rate of every replica, counting its own and the reported requests,
    within that of a cold one. Without reports from other routers it sends only within its share of
    the permits. ``connectivity`` returns which case applies. ``reports_all`` returns whether the
    other routers report all requests to a replica; those of another region do not report the ones
    to their own replicas.
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
        self.reports_all: Callable[[ReplicaView], bool] = lambda _: True
        self._clock = clock
        self._peer_requests: dict[str, deque[float]] = defaultdict(deque)
        self._lock = threading.Lock()

    def record_peer_request(self, replica: str) -> None:
        """Count a request that another router reports."""
        with self._lock:
            self._peer_requests[replica].append(self._clock.monotonic_ms())

    def forget(self, replica: str) -> None:
        """Drop the state of a removed replica, except for its requests within the window.

        They are kept because its record may have lapsed and come back under the same id.
        """
        self.permits.forget(replica)
        with self._lock:
            for each in list(self._peer_requests):
                if not self._count_peer_requests(each):
                    del self._peer_requests[each]

    def eligible(self, views: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return a new list of the service's replicas that may receive another request now.

        It counts no requests per replica if none of them can be cold, which is the usual case.
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
            < self._share(view, service, bound, connectivity, now)
        ]

    def acquire(self, view: ReplicaView, service: Service) -> Permit | None:
        """Return a permit to send a request to a replica, or None if it may not receive one now."""
        if not service.cold_per_second:
            return Permit.unlimited()
        bound = self.policy.bound(service.cold_per_second)
        now = self._clock.monotonic_ms()
        share = self._share(view, service, bound, self.connectivity(), now)
        return self.permits.acquire(view.identity, bound, share=share)

    def _share(
        self,
        view: ReplicaView,
        service: Service,
        bound: WindowBound,
        connectivity: Connectivity,
        now: float,
    ) -> float:
        """Return the maximum number of this router's requests that count at any time."""
        if connectivity is Connectivity.NONE or view.is_cold(now, service.cold_start_ms):
            return self.permits.share(view.identity, bound)
        if connectivity is Connectivity.PEERS and not self.reports_all(view):
            return self.permits.share(view.identity, bound)
        if connectivity is Connectivity.PEERS:
            with self._lock:
                return bound.permits - self._count_peer_requests(view.identity)
        return float("inf")

    def _count_peer_requests(self, replica: str) -> int:
        """Return how many requests of other routers count now; the lock must be held."""
        times = self._peer_requests[replica]
        oldest_ms = self._clock.monotonic_ms() - self.policy.window_ms
        while times and times[0] < oldest_ms:
            times.popleft()
        return len(times)

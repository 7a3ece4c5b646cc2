"""Limits on the requests that a replica receives from all routers together."""

from collections.abc import Callable, Collection

from aspengate.clock import Clock
from aspengate.cold_starts import ColdStartLimiter, ColdStartPolicy, Connectivity
from aspengate.configuration import Service
from aspengate.fleet_permits import (
    FleetPermits,
    JointPermit,
    Permit,
    RouterShares,
    first_weighted_share,
)
from aspengate.replica_limits import ReplicaLimiter
from aspengate.replicas import ReplicaView


class ReplicaBounds:
    """Combines the limits on cold replicas with the rate limits that replicas announce.

    Both have to allow a request. ``own`` is this router's name. ``connectivity`` returns from where
    it currently learns that replicas become cold, and ``any_limited`` whether any replica may have
    announced a rate limit.
    """

    def __init__(
        self,
        own: str,
        clock: Clock,
        cold_policy: ColdStartPolicy,
        connectivity: Callable[[], Connectivity],
        any_limited: Callable[[], bool],
    ) -> None:
        self.shares = RouterShares(own, clock)
        self.cold_starts = ColdStartLimiter(cold_policy, self.shares, clock, connectivity)
        permits = FleetPermits(self.shares, clock, share_of_rank=first_weighted_share)
        self.limiter = ReplicaLimiter(permits, clock, any_limited)

    def set_routers(self, names: Collection[str], count: int) -> None:
        """Set the listed names of the routers that may be alive, and their number."""
        self.shares.set_routers(names, count)

    def forget(self, replica: str) -> None:
        """Drop the state of a removed replica, except for the requests that it received."""
        self.cold_starts.forget(replica)
        self.limiter.permits.forget(replica)

    def open(self, ready: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return a new list of the service's replicas that may receive another request now."""
        return self.limiter.eligible(self.cold_starts.eligible(ready, service))

    def limited(self, ready: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return the replicas with a rate limit that no other limit excludes."""
        if not self.limiter.any_limited():
            return []
        return self.limiter.limited(self.cold_starts.eligible(ready, service))

    def acquire(
        self, view: ReplicaView, service: Service, max_wait_ms: float = 0.0
    ) -> Permit | None:
        """Return a permit to send one request to a replica, or None if no permit is available."""
        cold = self.cold_starts.acquire(view, service)
        if cold is None:
            return None
        limited = self.limiter.acquire(view, max_wait_ms)
        if limited is None:
            cold.settle(sent=False)
            return None
        return JointPermit(cold, limited)

    def acquire_with_permit(
        self, view: ReplicaView, service: Service, granted: Permit
    ) -> Permit | None:
        """Return a permit that includes ``granted`` from another router, or None as ``acquire``."""
        cold = self.cold_starts.acquire(view, service)
        if cold is None:
            granted.settle(sent=False)
            return None
        return JointPermit(cold, granted)

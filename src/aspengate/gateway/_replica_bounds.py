"""What bounds how much a replica gets from all routers together."""

from collections.abc import Callable, Collection

from aspengate.clock import Clock
from aspengate.cold_starts import ColdStartLimiter, ColdStartPolicy, Contact
from aspengate.configuration import Service
from aspengate.fleet_permits import (
    FleetPermits,
    JointPermit,
    Permit,
    RouterShares,
    mostly_first,
)
from aspengate.replica_limits import ReplicaLimiter
from aspengate.replicas import ReplicaView


class ReplicaBounds:
    """The bounds on cold replicas and on those that name limits; the narrower one holds.

    ``own`` is this router's name. ``contact`` tells what it can know of replicas that become cold,
    ``any_limited`` whether some replica may name a limit.
    """

    def __init__(
        self,
        own: str,
        clock: Clock,
        cold_policy: ColdStartPolicy,
        contact: Callable[[], Contact],
        any_limited: Callable[[], bool],
    ) -> None:
        self.shares = RouterShares(own, clock)
        self.cold_starts = ColdStartLimiter(cold_policy, self.shares, clock, contact)
        permits = FleetPermits(self.shares, clock, part_of_rank=mostly_first)
        self.limiter = ReplicaLimiter(permits, clock, any_limited)

    def set_routers(self, names: Collection[str], count: int) -> None:
        """Take over which routers may be alive, by the store's list, and how many there are."""
        self.shares.know(names, count)

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone, but not what it got."""
        self.cold_starts.forget(replica)
        self.limiter.permits.forget(replica)

    def open(self, ready: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return those of a service's replicas that may get one more request now, in a new list."""
        return self.limiter.open(self.cold_starts.open(ready, service))

    def limited(self, ready: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return those that name a limit, and may get one more request but for that."""
        if not self.limiter.any_limited():
            return []
        return self.limiter.limited(self.cold_starts.open(ready, service))

    def acquire(
        self, view: ReplicaView, service: Service, most_wait_ms: float = 0.0
    ) -> Permit | None:
        """Return the permission to send one request to a replica; None where there is none."""
        cold = self.cold_starts.take(view, service)
        if cold is None:
            return None
        limited = self.limiter.take(view, most_wait_ms)
        if limited is None:
            cold.settle(sent=False)
            return None
        return JointPermit(cold, limited)

    def acquire_with_permit(
        self, view: ReplicaView, service: Service, granted: Permit
    ) -> Permit | None:
        """Return a permission with a permit that another router has granted; None as ``take``."""
        cold = self.cold_starts.take(view, service)
        if cold is None:
            granted.settle(sent=False)
            return None
        return JointPermit(cold, granted)

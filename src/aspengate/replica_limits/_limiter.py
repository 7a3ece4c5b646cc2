"""Decides which replicas may get one more request while some of them name limits.

Load pattern: a replica in need has little in flight and answers soon, so that it is the cheapest
choice of every router at once, the more so the more the others fail or turn away.
"""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.fleet_permits import FleetPermits, Grant, GrantKey, Permit, WindowBound
from aspengate.replicas import ReplicaView


class ReplicaLimiter:
    """Hands out permits for replicas that name a limit; the others need none.

    ``any_limited`` tells whether there may be one that does.
    """

    def __init__(
        self, permits: FleetPermits, clock: Clock, any_limited: Callable[[], bool]
    ) -> None:
        self.permits = permits
        self.any_limited = any_limited
        self._clock = clock

    def bound_of(self, view: ReplicaView) -> WindowBound | None:
        """Return what a replica may get from all routers now; None for as much as comes."""
        rate = view.reported.limit.rate_at(self._clock.monotonic_ms())
        return None if rate is None else WindowBound.from_rate(rate)

    def eligible(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return those replicas that may get one more request of this router now, in a new list."""
        if not self.any_limited():
            return list(views)
        return [view for view in views if self.ready_in_ms(view) == 0]

    def limited(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return those replicas that name a limit."""
        if not self.any_limited():
            return []
        return [view for view in views if self.bound_of(view) is not None]

    def unlimited(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return those replicas that name no limit."""
        if not self.any_limited():
            return views
        return [view for view in views if self.bound_of(view) is None]

    def ready_in_ms(self, view: ReplicaView) -> float | None:
        """Return in how many ms this router has a permit of its own; None where that is open."""
        bound = self.bound_of(view)
        return 0.0 if bound is None else self.permits.ready_in_ms(view.identity, bound)

    def acquire(self, view: ReplicaView, max_wait_ms: float = 0.0) -> Permit | None:
        """Return a permit of this router's own; None where it has none in time."""
        bound = self.bound_of(view)
        if bound is None:
            return _UnlimitedPermit(lambda: self._take_limited(view))
        return self.permits.acquire(view.identity, bound, max_wait_ms=max_wait_ms)

    def grant(
        self, key: GrantKey, view: ReplicaView, *, max_wait_ms: float, valid_ms: float
    ) -> Grant | None:
        """Grant another router a permit, where this one has one and the replica needs one."""
        bound = self.bound_of(view)
        if bound is None:
            return None
        return self.permits.grant(
            key, view.identity, bound, max_wait_ms=max_wait_ms, valid_ms=valid_ms
        )

    def _take_limited(self, view: ReplicaView) -> Permit | None:
        """Return a permit for a replica that may have named a limit by now."""
        bound = self.bound_of(view)
        return Permit.unlimited() if bound is None else self.permits.acquire(view.identity, bound)


class _UnlimitedPermit(Permit):
    """For a replica that named no limit when it was chosen.

    It may have named one since, while a connection came up. The request needs a permit then.
    """

    def __init__(self, take: Callable[[], Permit | None]) -> None:
        super().__init__(self._settle_taken)
        self._take = take
        self._taken: Permit | None = None

    def confirm(self, now_ms: float) -> bool:
        """Return whether the replica still names no limit, or there is a permit for it."""
        self._taken = self._take()
        return self._taken is not None

    def _settle_taken(self, sent: bool) -> None:
        if self._taken is not None:
            self._taken.settle(sent=sent)

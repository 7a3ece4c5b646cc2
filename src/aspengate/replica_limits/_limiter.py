"""Decides which replicas may receive another request while some of them announce rate limits.

An overloaded replica that announces a limit has few requests in flight and answers quickly, so it
looks like the cheapest choice to every router at once, even more if the other replicas fail or
refuse requests.
"""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.fleet_permits import FleetPermits, Grant, GrantKey, Permit, WindowBound
from aspengate.replicas import ReplicaView


class ReplicaLimiter:
    """Issues permits for replicas that announce a rate limit; the others need none.

    ``any_limited`` returns whether any replica may have announced one.
    """

    def __init__(
        self, permits: FleetPermits, clock: Clock, any_limited: Callable[[], bool]
    ) -> None:
        self.permits = permits
        self.any_limited = any_limited
        self._clock = clock

    def bound_of(self, view: ReplicaView) -> WindowBound | None:
        """Return the current bound of a replica for all routers, or None if it has no limit."""
        rate = view.reported.limit.rate_at(self._clock.monotonic_ms())
        return None if rate is None else WindowBound.from_rate(rate)

    def eligible(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return a new list of the replicas that may receive another request of this router now."""
        if not self.any_limited():
            return list(views)
        return [view for view in views if self.ready_in_ms(view) == 0]

    def limited(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return the replicas that announce a rate limit."""
        if not self.any_limited():
            return []
        return [view for view in views if self.bound_of(view) is not None]

    def unlimited(self, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return the replicas that announce no rate limit."""
        if not self.any_limited():
            return views
        return [view for view in views if self.bound_of(view) is None]

    def ready_in_ms(self, view: ReplicaView) -> float | None:
        """Return the time until this router has a permit of its own, in ms, or None if unknown."""
        bound = self.bound_of(view)
        return 0.0 if bound is None else self.permits.ready_in_ms(view.identity, bound)

    def acquire(self, view: ReplicaView, max_wait_ms: float = 0.0) -> Permit | None:
        """Return one of this router's permits that is ready within ``max_wait_ms``, or None."""
        bound = self.bound_of(view)
        if bound is None:
            return _UnlimitedPermit(lambda: self._acquire_if_limited(view))
        return self.permits.acquire(view.identity, bound, max_wait_ms=max_wait_ms)

    def grant(
        self, key: GrantKey, view: ReplicaView, *, max_wait_ms: float, valid_ms: float
    ) -> Grant | None:
        """Grant another router a permit; None if none is available or the replica needs none."""
        bound = self.bound_of(view)
        if bound is None:
            return None
        return self.permits.grant(
            key, view.identity, bound, max_wait_ms=max_wait_ms, valid_ms=valid_ms
        )

    def _acquire_if_limited(self, view: ReplicaView) -> Permit | None:
        """Return a permit for a replica that may have announced a limit in the meantime."""
        bound = self.bound_of(view)
        return Permit.unlimited() if bound is None else self.permits.acquire(view.identity, bound)


class _UnlimitedPermit(Permit):
    """Allows a request to a replica that announced no rate limit when it was chosen.

    The replica may announce one while the connection is being opened. The request then needs a
    permit, which is acquired when this one is confirmed.
    """

    def __init__(self, acquire: Callable[[], Permit | None]) -> None:
        super().__init__(self._settle_acquired)
        self._acquire = acquire
        self._acquired: Permit | None = None

    def confirm(self, now_ms: float) -> bool:
        """Acquire a permit if one is required; return whether the request may be sent."""
        self._acquired = self._acquire()
        return self._acquired is not None

    def _settle_acquired(self, sent: bool) -> None:
        if self._acquired is not None:
            self._acquired.settle(sent=sent)

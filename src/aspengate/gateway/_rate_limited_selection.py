"""Selects among replicas that all have rate limits, or computes when to retry."""

import random
from collections.abc import Sequence

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._permit_client import PermitClient
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.replica_limits import RetryAfterSchedule
from aspengate.replicas import Candidate, PromptShape, ReplicaChooser, ReplicaView
from aspengate.telemetry import Counters

# The maximum wait for a permit as a fraction of the time left until the request's objective; the
# rest is left to the replica, so that the objective can still be met.
_MAX_WAIT_FRACTION = 0.5
# The maximum number of routers to ask for a permit per request; each costs a round trip. A router
# without a permit is not asked again until one is ready, so later requests ask other routers.
_MAX_ROUTERS_ASKED = 4
# The assumed rate of replicas whose limits have just ended, in requests per second.
_MIN_PER_SECOND = 0.05


class RateLimitedSelection:
    """Acquires a permit for the cheapest replica, from this router or from another one.

    It handles the load pattern in which all replicas of a service announce rate limits. If requests
    went to any replica with a permit instead, their prompts would be processed where no shared
    prompt segment is cached, which delays the streams that run there.
    """

    def __init__(
        self,
        bounds: ReplicaBounds,
        permit_client: PermitClient,
        chooser: ReplicaChooser,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.bounds = bounds
        self.permit_client = permit_client
        self.chooser = chooser
        self.clock = clock
        self.counters = counters
        self.retry_schedule = RetryAfterSchedule(clock)

    def choose(
        self, views: Sequence[ReplicaView], prompt: PromptShape, exchange: Exchange
    ) -> tuple[Candidate, Permit] | None:
        """Return a replica of ``views`` and a permit that is ready in time, or None."""
        if not views:
            return None
        wait_ms = self._max_wait_ms(exchange)
        now = self.clock.monotonic_ms()
        candidates = self.chooser.ranked(views, prompt, random.random(), now)
        asked: set[str] = set()
        for index, candidate in enumerate(candidates):
            found = self._acquire_own(candidate, exchange, wait_ms)
            holder = self.permit_client.holders.holder_of(candidate.view)
            if found is None and holder and holder not in asked and len(asked) < _MAX_ROUTERS_ASKED:
                asked.add(holder)
                # The reply may also state that the replica no longer has a rate limit.
                found = self._request_from(
                    holder, candidates[index:], exchange, wait_ms
                ) or self._acquire_own(candidate, exchange, wait_ms)
            if found is not None:
                return found
        return None

    def refusal(
        self, limited: Sequence[ReplicaView], ready: int, exchange: Exchange
    ) -> AspengateError:
        """Return the error for a refused request; ``limited`` of ``ready`` replicas have limits."""
        self.counters.count("gateway.at_limit")
        now = self.clock.monotonic_ms()
        service = exchange.known_service.name
        per_second = sum(view.reported.limit.rate_at(now) or 0.0 for view in limited)
        per_second = max(per_second, _MIN_PER_SECOND)
        waits = [self.bounds.limiter.ready_in_ms(view) for view in limited]
        waits += [self.permit_client.holders.ready_in_ms(view) for view in limited]
        ready_ms = min((each for each in waits if each is not None), default=1_000 / per_second)
        own_per_second = per_second / self.bounds.shares.router_count
        back_ms = self.retry_schedule.retry_after_ms(
            exchange.fingerprint, service, ready_ms, own_per_second
        )
        reason = (
            f"no permit: {len(limited)} of {ready} replicas name limits, {per_second:g} requests "
            f"a second together; the next permit in {ready_ms:.0f} ms"
        )
        back_s = back_ms / 1_000
        return AspengateError(ErrorKind.AT_LIMIT, reason, where=service, retry_after_s=back_s)

    def _acquire_own(
        self, candidate: Candidate, exchange: Exchange, wait_ms: float
    ) -> tuple[Candidate, Permit] | None:
        """Return a replica with a permit of this router that is ready in time, or None."""
        permit = self.bounds.acquire(candidate.view, exchange.known_service, wait_ms)
        return None if permit is None else (candidate, permit)

    def _request_from(
        self, holder: str, candidates: Sequence[Candidate], exchange: Exchange, wait_ms: float
    ) -> tuple[Candidate, Permit] | None:
        """Request a permit from ``holder`` for the first of ``candidates`` that it can grant."""
        asked = {
            each.view.incarnation: each
            for each in candidates
            if self.permit_client.holders.holder_of(each.view) == holder
        }
        granted = self.permit_client.request_permit(
            holder, [each.view for each in asked.values()], wait_ms
        )
        if granted is None:
            return None
        permit = self.bounds.acquire_with_permit(
            granted.view, exchange.known_service, granted.permit
        )
        return None if permit is None else (asked[granted.view.incarnation], permit)

    def _max_wait_ms(self, exchange: Exchange) -> float:
        """Return how long a request may wait for a permit and still meet its objective, in ms."""
        now = self.clock.monotonic_ms()
        objective_ms = exchange.request.received_ms + exchange.known_route.objective_ms
        left_ms = min(objective_ms - now, exchange.waiter.remaining_ms)
        return max(0.0, _MAX_WAIT_FRACTION * left_ms)

"""Chooses a replica where all that are open name limits, or says when a permit is ready."""

import random
from collections.abc import Sequence

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._permit_client import PermitClient
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.replica_limits import CallerReturns
from aspengate.replicas import Candidate, PromptShape, ReplicaChooser, ReplicaView
from aspengate.telemetry import Counters

# A request waits for a permit for this part of what is left of its objective at most: the rest is
# for the replica, so that it is in time yet.
_WAIT_PART = 0.5
# So many routers are asked for one request. Each takes a round trip; those that had no permit are
# not asked again before one is ready, so that later requests ask others.
_MOST_ASKED = 4
# What replicas whose limits have just ended are taken to bear, in requests a second.
_LEAST_PER_SECOND = 0.05


class RateLimitedSelection:
    """Finds a permit for a request, of this router or of another one, at the cheapest replica.

    Load pattern: all replicas of a service are in need. Sent to any replica for which there is a
    permit, prompts are read where none of their shared parts is held, and hold up the streams that
    run there.
    """

    def __init__(
        self,
        bounds: ReplicaBounds,
        asker: PermitClient,
        chooser: ReplicaChooser,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.bounds = bounds
        self.asker = asker
        self.chooser = chooser
        self.clock = clock
        self.counters = counters
        self.returns = CallerReturns(clock)

    def choose(
        self, views: Sequence[ReplicaView], prompt: PromptShape, exchange: Exchange
    ) -> tuple[Candidate, Permit] | None:
        """Return a replica of ``views``, and a permit that is ready in time; None for none."""
        if not views:
            return None
        wait_ms = self._most_wait_ms(exchange)
        now = self.clock.monotonic_ms()
        candidates = self.chooser.ranked(views, prompt, random.random(), now)
        asked: set[str] = set()
        for place, candidate in enumerate(candidates):
            found = self._own(candidate, exchange, wait_ms)
            holder = self.asker.holders.holder_of(candidate.view)
            if found is None and holder and holder not in asked and len(asked) < _MOST_ASKED:
                asked.add(holder)
                # The answer may also tell that the replica names no limit any more.
                found = self._ask(holder, candidates[place:], exchange, wait_ms) or self._own(
                    candidate, exchange, wait_ms
                )
            if found is not None:
                return found
        return None

    def refusal(
        self, limited: Sequence[ReplicaView], ready: int, exchange: Exchange
    ) -> AspengateError:
        """Return the refusal of a request; ``limited`` of ``ready`` replicas name limits."""
        self.counters.count("gateway.at_limit")
        now = self.clock.monotonic_ms()
        service = exchange.known_service.name
        per_second = sum(view.reported.limit.rate_at(now) or 0.0 for view in limited)
        per_second = max(per_second, _LEAST_PER_SECOND)
        waits = [self.bounds.limiter.ready_in_ms(view) for view in limited]
        waits += [self.asker.holders.ready_in_ms(view) for view in limited]
        ready_ms = min((each for each in waits if each is not None), default=1_000 / per_second)
        own_per_second = per_second / self.bounds.shares.count
        back_ms = self.returns.back_in_ms(exchange.fingerprint, service, ready_ms, own_per_second)
        reason = (
            f"no permit: {len(limited)} of {ready} replicas name limits, {per_second:g} requests "
            f"a second together; the next permit in {ready_ms:.0f} ms"
        )
        back_s = back_ms / 1_000
        return AspengateError(ErrorKind.AT_LIMIT, reason, where=service, retry_after_s=back_s)

    def _own(
        self, candidate: Candidate, exchange: Exchange, wait_ms: float
    ) -> tuple[Candidate, Permit] | None:
        """Return a replica with a permit of this router's own, where there is one in time."""
        permit = self.bounds.acquire(candidate.view, exchange.known_service, wait_ms)
        return None if permit is None else (candidate, permit)

    def _ask(
        self, holder: str, candidates: Sequence[Candidate], exchange: Exchange, wait_ms: float
    ) -> tuple[Candidate, Permit] | None:
        """Ask a router for a permit for the first of some replicas that it may hold one for."""
        asked = {
            each.view.incarnation: each
            for each in candidates
            if self.asker.holders.holder_of(each.view) == holder
        }
        granted = self.asker.request_permit(holder, [each.view for each in asked.values()], wait_ms)
        if granted is None:
            return None
        permit = self.bounds.acquire_with_permit(
            granted.view, exchange.known_service, granted.permit
        )
        return None if permit is None else (asked[granted.view.incarnation], permit)

    def _most_wait_ms(self, exchange: Exchange) -> float:
        """Return how long a request may wait for a permit and be answered in time yet."""
        now = self.clock.monotonic_ms()
        objective_ms = exchange.request.received_ms + exchange.known_route.objective_ms
        left_ms = min(objective_ms - now, exchange.waiter.remaining_ms)
        return max(0.0, _WAIT_PART * left_ms)

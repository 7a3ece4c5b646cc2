"""Selects the replica for an attempt, or says why none may get the request now."""

import random
from collections.abc import Collection

from aspengate.clock import Clock
from aspengate.configuration import Service
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._rate_limited_selection import RateLimitedSelection
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.peers import PlacedRequest, PlacementSink
from aspengate.replicas import (
    Availability,
    Candidate,
    PromptShape,
    ReplicaChooser,
    ReplicaRegistry,
    ReplicaView,
)
from aspengate.telemetry import Counters

# Callers that are refused while all replicas rest come back over a quarter of that time after its
# end, and not all at once.
_REST_SPREAD = 1.25


class ReplicaSelection:
    """Chooses the cheapest replica of those that may get one more request.

    ``registry`` knows which may get any, ``bounds`` how many a cold one and one that names a limit
    may get, ``limited`` chooses where all name limits, ``chooser`` knows what each replica would
    cost; other routers are told of what was chosen by ``placements``.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        bounds: ReplicaBounds,
        limited: RateLimitedSelection,
        chooser: ReplicaChooser,
        clock: Clock,
        counters: Counters,
        placements: PlacementSink,
    ) -> None:
        self.registry = registry
        self.bounds = bounds
        self.limited = limited
        self.chooser = chooser
        self.clock = clock
        self.counters = counters
        self.placements = placements

    def open(
        self, service: Service, excluded: Collection[str], *, to_spare: bool = False
    ) -> list[ReplicaView]:
        """Return the replicas of a service that may get one more request now.

        Permits of other routers are not asked for: a repeat is not planned on them. ``to_spare``
        leaves out replicas that name limits: what a second send takes there, others do not get.
        """
        views = self.bounds.open(self.registry.ready(service.name, excluded), service)
        return self.bounds.limiter.unlimited(views) if to_spare else views

    def choose(self, exchange: Exchange, excluded: Collection[str]) -> tuple[Candidate, Permit]:
        """Return the best replica for a request, and the permission to send it there.

        Raises NO_UPSTREAM, RESTING, WARMING_UP or AT_LIMIT where none may get it.
        """
        service = exchange.known_service
        ready = self.registry.ready(service.name, excluded)
        if not ready:
            raise self.no_replica(service.name)
        prompt = _prompt_shape(exchange)
        chosen = self._choose_open(ready, prompt, service)
        if chosen is None:
            limited = self.bounds.limited(ready, service)
            chosen = self.limited.choose(limited, prompt, exchange)
        if chosen is None:
            raise self._none_open(ready, exchange)
        candidate, permit = chosen
        now = self.clock.monotonic_ms()
        for part, _ in prompt.shared:
            self.chooser.segments.record_sent(part, candidate.view.identity, now)
        if prompt.tokens or service.cold_per_second:
            self.placements.record_sent(_placed(candidate, prompt))
        return candidate, permit

    def no_replica(self, service: str) -> AspengateError:
        """Return the refusal of a request that no replica may get now, with the reasons."""
        standings = self.registry.availability_counts(service)
        told = [f"{number} {standing.value}" for standing, number in standings.items()]
        reason = "; ".join(["no replica is ready", *told])
        if Availability.EVACUATED in standings:
            self.counters.count("gateway.evacuated")
            reason = f"{reason}: {', '.join(self.registry.evacuated)}"
        if Availability.RESTING not in standings:
            return AspengateError(ErrorKind.NO_UPSTREAM, reason, where=service)
        self.counters.count("gateway.resting")
        rest_s = self.registry.backoff_left_ms(service) / 1_000
        back_s = rest_s * random.uniform(1.0, _REST_SPREAD)
        return AspengateError(ErrorKind.RESTING, reason, where=service, retry_after_s=back_s)

    def _choose_open(
        self, ready: list[ReplicaView], prompt: PromptShape, service: Service
    ) -> tuple[Candidate, Permit] | None:
        """Return the best replica of those that may get one more request now, and its permit."""
        views = self.bounds.open(ready, service)
        while views:
            now = self.clock.monotonic_ms()
            candidate = self.chooser.choose(views, prompt, random.random(), now)
            permit = self.bounds.acquire(candidate.view, service)
            if permit is not None:
                return candidate, permit
            views.remove(candidate.view)
        return None

    def _none_open(self, ready: list[ReplicaView], exchange: Exchange) -> AspengateError:
        """Return the refusal of a request for which there are replicas but no permit."""
        limited = self.bounds.limiter.limited(ready)
        if limited:
            return self.limited.refusal(limited, len(ready), exchange)
        self.counters.count("gateway.warming_up")
        reason = "every replica may be cold and has its share"
        where = exchange.known_service.name
        return AspengateError(ErrorKind.WARMING_UP, reason, where=where)


def _prompt_shape(exchange: Exchange) -> PromptShape:
    """Return the request's prompt; its last part belongs to the request or its session."""
    request = exchange.request
    gap_aim_ms = exchange.known_route.longest_gap_ms
    if not request.prompt_segments:
        own = request.tokens.prompt if request.tokens else 0
        return PromptShape((), own, gap_aim_ms)
    shared = tuple((part.identity, part.tokens) for part in request.prompt_segments[:-1])
    return PromptShape(shared, request.prompt_segments[-1].tokens, gap_aim_ms)


def _placed(candidate: Candidate, prompt: PromptShape) -> PlacedRequest:
    """Return what other routers are told of a request that is sent to a candidate."""
    parts = [part for part, _ in prompt.shared]
    return PlacedRequest(
        candidate.view.incarnation, int(candidate.tokens), int(candidate.first_ms), parts
    )

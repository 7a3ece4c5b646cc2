"""Selects the replica for an attempt, or says why none may get the request now."""

import random
from collections.abc import Collection

from aspengate.clock import Clock
from aspengate.cold_starts import ColdStartLimiter
from aspengate.configuration import Service
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._exchange import Exchange
from aspengate.peers import PlacedRequest, PlacementSink
from aspengate.replicas import (
    Candidate,
    PromptShape,
    ReplicaChooser,
    ReplicaRegistry,
    ReplicaView,
    Standing,
)
from aspengate.telemetry import Counters

# Callers that are refused while all replicas rest come back over a quarter of that time after its
# end, and not all at once. A choice.
_REST_SPREAD = 1.25


class ReplicaSelection:
    """Chooses the cheapest replica of those that may get one more request.

    ``registry`` knows which may get any, ``cold_starts`` how many a cold one may get, ``chooser``
    what each would cost; other routers are told of what was chosen by ``placements``.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        cold_starts: ColdStartLimiter,
        chooser: ReplicaChooser,
        clock: Clock,
        counters: Counters,
        placements: PlacementSink,
    ) -> None:
        self.registry = registry
        self.cold_starts = cold_starts
        self.chooser = chooser
        self.clock = clock
        self.counters = counters
        self.placements = placements

    def open(self, service: Service, excluded: Collection[str]) -> list[ReplicaView]:
        """Return the replicas of a service that may get one more request now."""
        return self.cold_starts.open(self.registry.ready(service.name, excluded), service)

    def choose(
        self, exchange: Exchange, excluded: Collection[str]
    ) -> tuple[Candidate, Permit]:
        """Return the best replica for a request, and the permission to send it there.

        Raises NO_UPSTREAM, RESTING or WARMING_UP where none may get it.
        """
        service = exchange.known_service
        ready = self.registry.ready(service.name, excluded)
        if not ready:
            raise self.no_replica(service.name)
        prompt = _prompt_shape(exchange)
        now = self.clock.monotonic_ms()
        candidate, permit = self._choose_open(ready, prompt, service, now)
        for part, _ in prompt.shared:
            self.chooser.parts.note(part, candidate.view.identity, now)
        if prompt.tokens or service.cold_per_second:
            self.placements.note(_placed(candidate, prompt))
        return candidate, permit

    def no_replica(self, service: str) -> AspengateError:
        """Return the refusal of a request that no replica may get now, with the reasons."""
        standings = self.registry.standings(service)
        told = [f"{number} {standing.value}" for standing, number in standings.items()]
        reason = "; ".join(["no replica is ready", *told])
        if Standing.EVACUATED in standings:
            self.counters.count("gateway.evacuated")
            reason = f"{reason}: {', '.join(self.registry.evacuated)}"
        if Standing.RESTING not in standings:
            return AspengateError(ErrorKind.NO_UPSTREAM, reason, where=service)
        self.counters.count("gateway.resting")
        rest_s = self.registry.rest_left_ms(service) / 1_000
        back_s = rest_s * random.uniform(1.0, _REST_SPREAD)
        return AspengateError(ErrorKind.RESTING, reason, where=service, retry_after_s=back_s)

    def _choose_open(
        self, ready: list[ReplicaView], prompt: PromptShape, service: Service, now_ms: float
    ) -> tuple[Candidate, Permit]:
        """Return the best replica of those that may get one more request, and its permission."""
        views = self.cold_starts.open(ready, service)
        while views:
            candidate = self.chooser.choose(views, prompt, random.random(), now_ms)
            permit = self.cold_starts.take(candidate.view, service)
            if permit is not None:
                return candidate, permit
            views.remove(candidate.view)
        self.counters.count("gateway.warming_up")
        raise AspengateError(
            ErrorKind.WARMING_UP, "every replica may be cold and has its share", where=service.name
        )


def _prompt_shape(exchange: Exchange) -> PromptShape:
    """Return the request's prompt; its last part belongs to the request or its session."""
    request = exchange.request
    gap_aim_ms = exchange.known_route.longest_gap_ms
    if not request.parts:
        own = request.tokens.prompt if request.tokens else 0
        return PromptShape((), own, gap_aim_ms)
    shared = tuple((part.identity, part.tokens) for part in request.parts[:-1])
    return PromptShape(shared, request.parts[-1].tokens, gap_aim_ms)


def _placed(candidate: Candidate, prompt: PromptShape) -> PlacedRequest:
    """Return what other routers are told of a request that is sent to a candidate."""
    parts = [part for part, _ in prompt.shared]
    return PlacedRequest(candidate.view.life, int(candidate.tokens), int(candidate.first_ms), parts)

"""Selects the replica for an attempt, or reports why none is available."""

import random
from collections.abc import Collection

from aspengate.clock import Clock
from aspengate.configuration import Service
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._allowed_regions import AllowedRegions
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._rate_limited_selection import RateLimitedSelection
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.gateway.rollouts import RolloutTraffic
from aspengate.gateway.streams import StreamDirectory
from aspengate.peers import PlacedRequest, PlacementSink
from aspengate.replicas import (
    Availability,
    Candidate,
    PromptShape,
    ReplicaChooser,
    ReplicaRegistry,
    ReplicaView,
)
from aspengate.streams import VersionPin
from aspengate.telemetry import Counters

# Spreads the retries of callers that are refused while all replicas back off over a quarter of the
# remaining backoff, so that they do not all return at its end.
_BACKOFF_JITTER = 1.25
# The refusals that become REGION_UNAVAILABLE for requests that may not run in every region.
_REFUSALS = frozenset(
    {ErrorKind.NO_UPSTREAM, ErrorKind.RESTING, ErrorKind.WARMING_UP, ErrorKind.AT_LIMIT}
)


class ReplicaSelection:
    """Selects the cheapest replica among those that may receive one more request.

    ``registry`` holds the ready replicas, and ``bounds`` the number of requests that cold and
    rate-limited replicas may receive. ``rate_limited`` selects if all replicas have rate limits,
    ``chooser`` estimates the cost of each replica, and ``placements`` reports each selection to the
    other routers. ``regions`` excludes the replicas of regions where a request must not run, and
    ``streams`` those that must not continue a stream. ``rollouts`` limits the versions that an
    attempt may be sent to; None if rollouts are disabled.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        bounds: ReplicaBounds,
        rate_limited: RateLimitedSelection,
        chooser: ReplicaChooser,
        clock: Clock,
        counters: Counters,
        placements: PlacementSink,
        regions: AllowedRegions,
        streams: StreamDirectory,
        rollouts: RolloutTraffic | None = None,
    ) -> None:
        self.streams = streams
        self.rollouts = rollouts
        self.registry = registry
        self.bounds = bounds
        self.rate_limited = rate_limited
        self.chooser = chooser
        self.clock = clock
        self.counters = counters
        self.placements = placements
        self.regions = regions

    def ready(
        self, exchange: Exchange, pin: VersionPin | None, excluded: Collection[str] = ()
    ) -> list[ReplicaView]:
        """Return the available replicas of a request's service in its allowed regions.

        A stream that has begun may only continue at the version of its ``pin``.
        """
        views = self.registry.ready(exchange.known_service.name, excluded)
        if pin is not None:
            views = [view for view in views if self.streams.admits(pin, view.replica)]
        return self.regions.select(exchange, views)

    def available(
        self,
        exchange: Exchange,
        pin: VersionPin | None,
        excluded: Collection[str],
        *,
        to_spare: bool = False,
    ) -> list[ReplicaView]:
        """Return the replicas that may receive this request now.

        Permits of other routers are not considered: a retry is not decided on them. ``to_spare``
        excludes replicas with rate limits, where a retry of a request that has not failed would use
        capacity that other requests need.
        """
        ready = self.ready(exchange, pin, excluded)
        if self.rollouts is not None:
            # Whether a retry draws the target is only known when it is made.
            ready = self.rollouts.assured(exchange.known_service.name, ready)
        views = self.bounds.open(ready, exchange.known_service)
        return self.bounds.limiter.unlimited(views) if to_spare else views

    def choose(
        self, exchange: Exchange, pin: VersionPin | None, excluded: Collection[str]
    ) -> tuple[Candidate, Permit]:
        """Return the best replica for a request, and the permit to send it there.

        Raises NO_UPSTREAM, RESTING, WARMING_UP or AT_LIMIT if none may receive it, and instead of
        these REGION_UNAVAILABLE if the request may not run in every region, or VERSION_GONE if its
        stream can't continue at the version that began it.
        """
        try:
            return self._choose(exchange, pin, excluded)
        except AspengateError as error:
            reported = self._with_regions(exchange, error)
            if reported is error:
                raise
            raise reported from error

    def _choose(
        self, exchange: Exchange, pin: VersionPin | None, excluded: Collection[str]
    ) -> tuple[Candidate, Permit]:
        service = exchange.known_service
        ready = self.ready(exchange, pin, excluded)
        if not ready:
            raise self._no_replica_error(exchange, pin)
        prompt = _prompt_shape_of(exchange)
        is_restricted = (
            bool(excluded) or pin is not None or self.regions.regions_for(exchange) is not None
        )
        if self.rollouts is None:
            chosen = self._choose_permitted(ready, prompt, exchange, is_restricted=is_restricted)
        else:
            chosen = self._choose_version(
                self.rollouts, ready, prompt, exchange, pin, is_restricted=is_restricted
            )
        if chosen is None:
            raise self._no_permit_error(ready, exchange)
        candidate, permit = chosen
        now = self.clock.monotonic_ms()
        for segment, _ in prompt.shared:
            self.chooser.segments.record_sent(segment, candidate.view.identity, now)
        if prompt.tokens or service.cold_per_second:
            self.placements.record_sent(_placed_request(candidate, prompt))
        return candidate, permit

    def _with_regions(self, exchange: Exchange, cause: AspengateError) -> AspengateError:
        """Return the error for a refused request; REGION_UNAVAILABLE if its regions are limited."""
        regions = self.regions.regions_for(exchange)
        if regions is None or cause.kind not in _REFUSALS:
            return cause
        self.counters.count("gateway.region_unavailable")
        allowed = f"allowed regions: {', '.join(sorted(regions)) or 'none'}"
        reason = f"{cause.message}; {allowed}"
        return AspengateError(
            ErrorKind.REGION_UNAVAILABLE,
            reason,
            where=cause.where,
            retry_after_s=cause.retry_after_s,
        )

    def no_replica_error(self, exchange: Exchange, pin: VersionPin | None) -> AspengateError:
        """Return the error for a request that no replica can receive now, with the reasons.

        Replicas where it must not run are not counted.
        """
        return self._with_regions(exchange, self._no_replica_error(exchange, pin))

    def _no_replica_error(
        self,
        exchange: Exchange,
        pin: VersionPin | None,
        reason: str = "no replica is ready",
    ) -> AspengateError:
        service = exchange.known_service.name
        if pin is not None and not any(
            self.streams.admits(pin, view.replica) for view in self.registry.listed(service)
        ):
            self.counters.count("streams.version_gone")
            reason = f"the stream began at version {pin.version or '(unknown)'}, which is gone"
            return AspengateError(ErrorKind.VERSION_GONE, reason, where=service)

        def admits(view: ReplicaView) -> bool:
            is_admitted = pin is None or self.streams.admits(pin, view.replica)
            return is_admitted and self.regions.allows(exchange, view)

        availabilities = self.registry.availability_counts(service, admits)
        counts = [
            f"{number} {availability.value}" for availability, number in availabilities.items()
        ]
        reason = "; ".join([reason, *counts])
        if Availability.EVACUATED in availabilities:
            self.counters.count("gateway.evacuated")
            reason = f"{reason}: {', '.join(self.registry.evacuated)}"
        if Availability.RESTING not in availabilities:
            return AspengateError(ErrorKind.NO_UPSTREAM, reason, where=service)
        self.counters.count("gateway.resting")
        backoff_s = self.registry.backoff_left_ms(service, admits) / 1_000
        retry_after_s = backoff_s * random.uniform(1.0, _BACKOFF_JITTER)
        return AspengateError(ErrorKind.RESTING, reason, where=service, retry_after_s=retry_after_s)

    def _choose_permitted(
        self,
        ready: list[ReplicaView],
        prompt: PromptShape,
        exchange: Exchange,
        *,
        is_restricted: bool,
    ) -> tuple[Candidate, Permit] | None:
        """Return the best of some replicas and a permit, or None if there is no permit."""
        service = exchange.known_service
        chosen = self._choose_available(ready, prompt, service, is_restricted=is_restricted)
        if chosen is None:
            limited = self.bounds.limited(ready, service)
            chosen = self.rate_limited.choose(limited, prompt, exchange)
        return chosen

    def _choose_version(
        self,
        rollouts: RolloutTraffic,
        ready: list[ReplicaView],
        prompt: PromptShape,
        exchange: Exchange,
        pin: VersionPin | None,
        *,
        is_restricted: bool,
    ) -> tuple[Candidate, Permit] | None:
        """Return the best replica of the version that is drawn for this attempt.

        An attempt that drew a new version falls back to the others if that version has no permit.
        Nothing is drawn for a stream that continues. Raises NO_UPSTREAM or RESTING if no ready
        replica is of a version that may receive requests.
        """
        service = exchange.known_service
        views = rollouts.select(
            service.name,
            exchange.known_route.name,
            ready,
            lambda some: self.bounds.open(some, service),
            is_continuation=pin is not None,
        )
        if not views:
            self.counters.count("rollouts.no_version")
            reason = "no replica of a version that may get requests is ready"
            raise self._no_replica_error(exchange, pin, reason)
        is_restricted = is_restricted or len(views) < len(ready)
        chosen = self._choose_permitted(views, prompt, exchange, is_restricted=is_restricted)
        if chosen is not None:
            return chosen
        others = [view for view in rollouts.assured(service.name, ready) if view not in views]
        if not others:
            return None
        return self._choose_permitted(others, prompt, exchange, is_restricted=True)

    def _choose_available(
        self,
        ready: list[ReplicaView],
        prompt: PromptShape,
        service: Service,
        *,
        is_restricted: bool,
    ) -> tuple[Candidate, Permit] | None:
        """Return the best replica that may receive one more request now, and its permit."""
        views = self.bounds.open(ready, service)
        while views:
            now = self.clock.monotonic_ms()
            candidate = self.chooser.choose(
                views, prompt, random.random(), now, is_restricted=is_restricted
            )
            permit = self.bounds.acquire(candidate.view, service)
            if permit is not None:
                return candidate, permit
            views.remove(candidate.view)
        return None

    def _no_permit_error(self, ready: list[ReplicaView], exchange: Exchange) -> AspengateError:
        """Return the error for a request if replicas are ready but no permit is available."""
        limited = self.bounds.limiter.limited(ready)
        if limited:
            return self.rate_limited.refusal(limited, len(ready), exchange)
        self.counters.count("gateway.warming_up")
        reason = "every replica may be cold and has its share"
        where = exchange.known_service.name
        return AspengateError(ErrorKind.WARMING_UP, reason, where=where)


def _prompt_shape_of(exchange: Exchange) -> PromptShape:
    """Return the shape of the request's prompt; its last segment is not shared with others."""
    request = exchange.request
    gap_aim_ms = exchange.known_route.max_gap_ms
    if not request.prompt_segments:
        own_tokens = request.tokens.prompt if request.tokens else 0
        return PromptShape((), own_tokens, gap_aim_ms)
    shared = tuple((segment.identity, segment.tokens) for segment in exchange.shared_segments)
    return PromptShape(shared, request.prompt_segments[-1].tokens, gap_aim_ms)


def _placed_request(candidate: Candidate, prompt: PromptShape) -> PlacedRequest:
    """Return the record of a request sent to a candidate, for the other routers."""
    segments = [segment for segment, _ in prompt.shared]
    return PlacedRequest(
        candidate.view.incarnation, int(candidate.tokens), int(candidate.first_ms), segments
    )

"""Chooses a replica for a request by the expected first token and the delay of other requests."""

from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from aspengate.replicas._candidate import Candidate, failure_cost_ms, is_avoided
from aspengate.replicas._first_token import FirstTokenModel
from aspengate.replicas._pauses import PauseModel, miss_probability
from aspengate.replicas._plain_choice import PlainChooser
from aspengate.replicas._region_costs import DistanceCost, RegionCosts
from aspengate.replicas._region_return import RegionReturn
from aspengate.replicas._segments import SegmentTracker
from aspengate.replicas._view import InFlightRequest, ReplicaView
from aspengate.topology import Topology

# Cost of each request in flight at a replica; it breaks ties between otherwise equal replicas.
_IN_FLIGHT_COST_MS = 4.0
# The most that a request may cost more elsewhere for the sake of a gradual return to its region.
_MAX_RETURN_COST_MS = 100.0
# Requests that share a prompt segment are to meet at one replica. Each of the next places in the
# segment's ranking, up to the second, costs this multiple of the time to read the segment.
_RANK_COST_FACTOR = 2.0
_MAX_RANK = 2
# A stream that is expected to pause too long costs this fraction of its allowed pause: the request
# to be placed is certain to be late if it has to wait, while the stream is only likely to be late.
_LATE_STREAM_COST_FACTOR = 0.3
# The estimate error is computed over this many first tokens, those of about a minute.
_MAX_ERROR_SAMPLES = 256
_TAIL_QUANTILE = 0.9
# How long a replica is assumed to keep a prompt segment that was sent to it: under load, engines
# replace the contents of their caches within tens of seconds.
_SEGMENT_RETENTION_MS = 30_000.0
# Cost of a certain failure, which is about the timeout of a stream.
_FAILURE_COST_MS = 2_000.0


@dataclass(frozen=True)
class PromptShape:
    """Describes a request's prompt: shared segments as (identity, tokens), and its other tokens.

    ``gap_aim_ms`` is the longest allowed pause of its stream, 0 if there is none.
    """

    shared: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0
    gap_aim_ms: float = 0.0

    @property
    def affinity_segment(self) -> str:
        """The last shared segment, by which requests that share it are sent to the same replica."""
        return self.shared[-1][0] if self.shared else ""

    @property
    def tokens(self) -> int:
        """The number of tokens of the whole prompt."""
        return self.own_tokens + sum(tokens for _, tokens in self.shared)


@dataclass(frozen=True)
class ChoicePolicy:
    """Weights of the choice of a replica.

    ``queue_weight`` is the cost of 1 ms of delay to another waiting request, relative to 1 ms of
    delay to the request itself: reading a shared prompt segment again delays all requests that wait
    at the replica. It is multiplied by the mean number of waiting requests per replica, so that it
    has no effect while engines are idle.

    Without it, under a load that exceeds the engines' capacity if every segment is read again but
    not if none is, requests avoid a busy replica for one that has to read the segment, which makes
    that one busy as well. Of 1,652 requests in a burst of 3.5 times the usual load, 572 began in
    time with weight 0 and 1,480 with weight 2 (``aspengate bench overload``, seed 1).
    """

    queue_weight: float = 2.0


CHOICE_POLICY = ChoicePolicy()


@dataclass(frozen=True)
class EstimateError:
    """Ratio of observed to expected times to first token: the median and the 90th percentile.

    1 is an exact estimate; both are 0 if there are no samples.
    """

    median: float = 0.0
    p90: float = 0.0


class ReplicaChooser:
    """Scores replicas for requests; ``opening_ms`` is the cost of connecting to a replica now.

    All routers rank the replicas of a region alike for a prompt segment without exchanging
    messages. ``regions`` has the costs of other regions; without it, there is one region.
    """

    def __init__(
        self,
        segments: SegmentTracker,
        failure_domain: str,
        policy: ChoicePolicy = CHOICE_POLICY,
        regions: RegionCosts | None = None,
        opening_ms: Callable[[ReplicaView], float] = lambda _view: 0.0,
    ) -> None:
        self.segments = segments
        self.policy = policy
        self.regions = regions or RegionCosts(Topology(failure_domain))
        self.returns = RegionReturn()
        self.first_tokens = FirstTokenModel()
        self.pauses = PauseModel()
        self.plain = PlainChooser(self._distance, opening_ms)
        self._errors: deque[float] = deque(maxlen=_MAX_ERROR_SAMPLES)

    def choose(
        self,
        views: Sequence[ReplicaView],
        prompt: PromptShape,
        tie: float,
        now_ms: float,
        *,
        is_restricted: bool = False,
    ) -> Candidate:
        """Return the cheapest of ``views``, which must not be empty.

        ``tie`` in [0, 1) selects which of equally cheap replicas is returned. After the requests of
        a service have left this region, only a growing share of them returns. ``is_restricted`` is
        whether ``views`` lacks replicas that other requests may use, so that the choice says
        nothing about the region.
        """
        best = self._cheapest(views, prompt, tie, now_ms)
        if is_restricted or best.trial_ms or not self.regions.topology.has_other_regions:
            # A trial is sent, or its replica would never be seen to have recovered.
            return best
        is_away = self._is_away(best.view)
        share = self.returns.record(best.view.replica.service, now_ms, is_away=is_away)
        # The part of ``tie`` that does not select among equally cheap replicas.
        if is_away or tie * len(views) % 1 < share:
            return best
        elsewhere = [view for view in views if self._is_away(view)]
        if not elsewhere:
            return best
        away = self._cheapest(elsewhere, prompt, tie, now_ms)
        return away if away.cost_ms <= best.cost_ms + _MAX_RETURN_COST_MS else best

    def _cheapest(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> Candidate:
        if not prompt.tokens:
            return self.plain.choose(views, tie, now_ms)
        return min(self._candidates(views, prompt, tie, now_ms), key=_cost)

    def ranked(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> list[Candidate]:
        """Return candidates for all ``views``, the cheapest first."""
        return sorted(self._candidates(views, prompt, tie, now_ms), key=_cost)

    def _candidates(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> list[Candidate]:
        start = int(tie * len(views))
        rotated = (*views[start:], *views[:start])
        if not prompt.tokens:
            return self.plain.candidates(rotated, now_ms)
        ranks = self._segment_ranks(views, prompt, now_ms)
        held = {segment: self._recent_holders(segment, now_ms) for segment, _ in prompt.shared}
        mean_waiting = sum(view.waiting_requests(now_ms) for view in views) / len(views)
        queue_factor = self.policy.queue_weight * mean_waiting
        return [
            self._engine_candidate(
                view, prompt, held, ranks.get(view.identity, 0), queue_factor, now_ms
            )
            for view in rotated
        ]

    def record_first_response(
        self, candidate: Candidate, request: InFlightRequest, now_ms: float
    ) -> None:
        """Record the first token or response of a request that was sent to a candidate.

        Calls after the first one for a request have no effect.
        """
        view = candidate.view
        if request.has_response:
            return
        read_tokens = candidate.tokens + candidate.backlog_tokens
        if candidate.tokens:
            self._errors.append((now_ms - request.started_ms) / max(1.0, candidate.first_ms))
            expected_ms = self.first_tokens.expected_ms(read_tokens)
            self.first_tokens.record(read_tokens, now_ms - request.started_ms)
            if view.interval_ms:
                pause_ms = view.longest_pause_since(request.started_ms, now_ms, request)
                if pause_ms:
                    self.pauses.record(candidate.tokens, pause_ms, view.interval_ms)
        else:
            expected_ms = candidate.first_ms
        view.record_first_response(request, expected_ms, now_ms)

    def estimate_error(self) -> EstimateError:
        """Return how recent times to first token compare with the expected ones."""
        ordered = sorted(self._errors)
        if not ordered:
            return EstimateError()
        p90 = ordered[int(_TAIL_QUANTILE * (len(ordered) - 1) + 0.5)]
        return EstimateError(ordered[len(ordered) // 2], p90)

    def _engine_candidate(
        self,
        view: ReplicaView,
        prompt: PromptShape,
        held: dict[str, frozenset[str]],
        rank: int,
        queue_factor: float,
        now_ms: float,
    ) -> Candidate:
        uncached_tokens = _uncached_tokens(view, prompt, held)
        tokens = uncached_tokens + prompt.own_tokens
        backlog_tokens = view.backlog_tokens + view.remote_backlog_tokens(now_ms)
        first_ms = self.first_tokens.expected_ms(tokens + backlog_tokens) * view.slowness_at(now_ms)
        shared_ms = self.first_tokens.ms_per_token * (prompt.tokens - prompt.own_tokens)
        harm_ms = (
            self._stream_harm_ms(view, tokens) + view.late_fraction(now_ms) * prompt.gap_aim_ms
        )
        cost = first_ms + harm_ms + _IN_FLIGHT_COST_MS * view.in_flight
        distance = self._distance(view, now_ms)
        cost += distance.total_ms
        cost += _RANK_COST_FACTOR * shared_ms * min(rank, _MAX_RANK)
        cost += queue_factor * self.first_tokens.ms_per_token * uncached_tokens
        avoided = is_avoided(view, now_ms)
        cost += failure_cost_ms(view, now_ms, _FAILURE_COST_MS, avoided=avoided)
        return Candidate(
            view,
            cost,
            first_ms,
            tokens,
            backlog_tokens,
            harm_ms,
            network_ms=distance.round_trip_ms,
        )

    def _stream_harm_ms(self, view: ReplicaView, tokens: float) -> float:
        """Return the cost, in ms, of the pause that reading a prompt causes to running streams.

        Each stream adds a fraction of its longest allowed pause, weighted by the probability that
        the pause exceeds it. A stream that has already exceeded it adds nothing.
        """
        pause_ms = self.pauses.expected_ms(tokens, view.interval_ms)
        if not pause_ms:
            return 0.0
        streams = view.streams_in_time()
        lost_ms = sum(
            miss_probability(pause_ms, request.gap_aim_ms) * request.gap_aim_ms
            for request in streams
        )
        return _LATE_STREAM_COST_FACTOR * lost_ms

    def _distance(self, view: ReplicaView, now_ms: float) -> DistanceCost:
        return self.regions.cost(view.replica.failure_domain, now_ms)

    def _is_away(self, view: ReplicaView) -> bool:
        return self.regions.is_other_region(view.replica.failure_domain)

    def _segment_ranks(
        self, views: Sequence[ReplicaView], prompt: PromptShape, now_ms: float
    ) -> dict[str, int]:
        """Return each replica's rank for the last shared segment.

        Replicas are ranked within their region, so that requests do not leave theirs to meet at one
        replica, unless reading the segments again in each region takes longer than going to another
        one.
        """
        segment = prompt.affinity_segment
        if not self.regions.topology.has_other_regions:
            return _ranks(views, segment)
        distances = (self._distance(view, now_ms).total_ms for view in views if self._is_away(view))
        shared_ms = self.first_tokens.ms_per_token * (prompt.tokens - prompt.own_tokens)
        if shared_ms > min(distances, default=float("inf")):
            return _ranks(views, segment)
        by_region: dict[str, list[ReplicaView]] = defaultdict(list)
        for view in views:
            by_region[self.regions.topology.region_of(view.replica.failure_domain)].append(view)
        ranks: dict[str, int] = {}
        for group in by_region.values():
            ranks.update(_ranks(group, segment))
        return ranks

    def _recent_holders(self, segment: str, now_ms: float) -> frozenset[str]:
        holders = self.segments.holders(segment)
        return frozenset(
            name for name, at in holders.items() if now_ms - at <= _SEGMENT_RETENTION_MS
        )


def _cost(candidate: Candidate) -> float:
    return candidate.cost_ms


def _uncached_tokens(
    view: ReplicaView, prompt: PromptShape, held: dict[str, frozenset[str]]
) -> int:
    """Return how many tokens of the shared segments a replica probably has to read."""
    uncached = 0
    is_held = True
    for segment, tokens in prompt.shared:
        is_held = is_held and view.identity in held[segment]
        if not is_held:
            uncached += tokens
    return uncached


def _ranks(views: Sequence[ReplicaView], segment: str) -> dict[str, int]:
    """Return each replica's rank for a segment, the same at all routers (rendezvous hashing)."""
    if not segment:
        return {}

    def weight(view: ReplicaView) -> int:
        return xxhash.xxh64_intdigest(f"{segment}/{view.identity}".encode())

    ordered = sorted(views, key=weight, reverse=True)
    return {view.identity: rank for rank, view in enumerate(ordered)}

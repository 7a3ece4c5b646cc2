"""Chooses a replica for a request: where its answer begins soonest and others are hurt least."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from aspengate.replicas._first_token import FirstTokenModel
from aspengate.replicas._pauses import PauseModel, risk
from aspengate.replicas._segments import SegmentTracker
from aspengate.replicas._view import InFlightRequest, ReplicaView

# What each request that runs at a replica adds to a further one there, in ms: it breaks ties
# between idle replicas. A choice.
_RUNNING_MS = 4.0
# Another failure domain costs a round trip of a few ms and bytes that have a price. A choice.
_OTHER_DOMAIN_MS = 2.0
# Requests that share a part of a prompt meet at one replica: at the next ones in its ranking they
# are taken to cost this many times what reading that part takes, for each place, two at most.
# Measured: 1, 2 and 4, see docs/measurements/pliego.md.
_RANK_PART = 2.0
_MOST_RANK = 2
# A stream that would pause too long counts as this part of its aim: the request that is placed is
# late for sure where it waits, the stream only probably. Measured: 0, 0.1, 0.3 and 1.
_HARM_PART = 0.3
# The error of the estimate is told of so many first tokens, those of about a minute; the tail is
# told at this part of them.
_MOST_ERRORS = 256
_TAIL_PART = 0.9
# How long a replica is taken to keep a part that it was sent, in ms. A choice: memory is turned
# over within tens of seconds under load.
_MEMORY_MS = 30_000.0
# What a certain failure would cost, in ms: about a time-out of a stream, of a plain call, and more
# than any other cost where a replica is to be avoided. Choices.
_FAILURE_MS = 2_000.0
_PLAIN_FAILURE_MS = 500.0
_AVOIDED_MS = 10_000.0


@dataclass(frozen=True)
class PromptShape:
    """A request's prompt: shared parts as (identity, tokens), and the tokens that are its own.

    ``gap_aim_ms`` is the longest pause in its stream that is in time, 0 where it has none.
    """

    shared: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0
    gap_aim_ms: float = 0.0

    @property
    def affinity_segment(self) -> str:
        """The deepest shared part, which decides where requests that share it meet."""
        return self.shared[-1][0] if self.shared else ""

    @property
    def tokens(self) -> int:
        """The tokens of the whole prompt."""
        return self.own_tokens + sum(tokens for _, tokens in self.shared)


@dataclass(frozen=True)
class ChoicePolicy:
    """What weighs in a choice beside the request's own wait.

    ``queue_weight`` is what a ms by which others wait longer counts against one of its own: a
    shared part that is read again holds up all that wait at that replica, and those to come.
    Load pattern: more than engines bear if every part is read again, and less if none is. By the
    own wait alone a busy replica is passed over for one that has to read, which makes that one
    busy too: of 1,652 requests in a burst of 3.5 times the usual 572 began in time, with those
    that wait counted twice 1,480 (``aspengate bench overload``, seed 1). It is the mean number
    that waits at the replicas, so that nothing changes while engines are idle.
    """

    queue_weight: float = 2.0


CHOICE_POLICY = ChoicePolicy()


@dataclass(frozen=True)
class Candidate:
    """A replica with the expected cost of a request there.

    ``cost_ms`` is what replicas are compared by; ``first_ms`` is when the first token is
    expected. ``tokens`` of the request's prompt are to be read there, behind ``backlog_tokens``
    of others; ``harm_ms`` is the part of the cost for streams that it would hold up.
    """

    view: ReplicaView
    cost_ms: float
    first_ms: float = 0.0
    tokens: float = 0.0
    backlog_tokens: float = 0.0
    harm_ms: float = 0.0


@dataclass(frozen=True)
class EstimateError:
    """First tokens over what was expected of them: the median and the ninetieth percentile.

    Both are 0 where none was seen yet; 1 is a right estimate.
    """

    median: float = 0.0
    p90: float = 0.0


class ReplicaChooser:
    """Scores replicas; all routers rank them alike for a part, without a message."""

    def __init__(
        self, segments: SegmentTracker, failure_domain: str, policy: ChoicePolicy = CHOICE_POLICY
    ) -> None:
        self.segments = segments
        self.policy = policy
        self.failure_domain = failure_domain
        self.reading = FirstTokenModel()
        self.pauses = PauseModel()
        self._errors: deque[float] = deque(maxlen=_MOST_ERRORS)

    def choose(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> Candidate:
        """Return the cheapest of ``views``, which are never empty; ``tie`` in [0, 1) rotates."""
        return min(self._candidates(views, prompt, tie, now_ms), key=_cost)

    def ranked(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> list[Candidate]:
        """Return all of ``views``, the cheapest first."""
        return sorted(self._candidates(views, prompt, tie, now_ms), key=_cost)

    def _candidates(
        self, views: Sequence[ReplicaView], prompt: PromptShape, tie: float, now_ms: float
    ) -> list[Candidate]:
        start = int(tie * len(views))
        rotated = (*views[start:], *views[:start])
        if not prompt.tokens:
            return [self._plain(view, now_ms) for view in rotated]
        ranks = _ranks(views, prompt.affinity_segment)
        held = {part: self._fresh_holders(part, now_ms) for part, _ in prompt.shared}
        waiting = sum(view.waiting(now_ms) for view in views) / len(views)
        behind = self.policy.queue_weight * waiting
        return [
            self._engine(view, prompt, held, ranks.get(view.identity, 0), behind, now_ms)
            for view in rotated
        ]

    def record_first_response(
        self, candidate: Candidate, work: InFlightRequest, now_ms: float
    ) -> None:
        """Learn from the first token of a request that was sent to a candidate."""
        view = candidate.view
        if work.has_response:
            return
        read_tokens = candidate.tokens + candidate.backlog_tokens
        if candidate.tokens:
            self._errors.append((now_ms - work.started_ms) / max(1.0, candidate.first_ms))
            usual_ms = self.reading.expected_ms(read_tokens)
            self.reading.record(read_tokens, now_ms - work.started_ms)
            if view.interval_ms:
                pause_ms = view.longest_pause_since(work.started_ms, now_ms, work)
                if pause_ms:
                    self.pauses.record(candidate.tokens, pause_ms, view.interval_ms)
        else:
            usual_ms = candidate.first_ms
        view.record_first_response(work, usual_ms, now_ms)

    def estimate_error(self) -> EstimateError:
        """Return how recent first tokens compare with what was expected."""
        ordered = sorted(self._errors)
        if not ordered:
            return EstimateError()
        tail = ordered[int(_TAIL_PART * (len(ordered) - 1) + 0.5)]
        return EstimateError(ordered[len(ordered) // 2], tail)

    def _plain(self, view: ReplicaView, now_ms: float) -> Candidate:
        waiting = view.in_flight / max(1, view.replica.slots)
        first_ms = view.answer_ms * (1 + waiting)
        cost = first_ms + self._distance_ms(view)
        return Candidate(view, cost + _trouble_ms(view, now_ms, _PLAIN_FAILURE_MS), first_ms)

    def _engine(
        self,
        view: ReplicaView,
        prompt: PromptShape,
        held: dict[str, frozenset[str]],
        rank: int,
        behind: float,
        now_ms: float,
    ) -> Candidate:
        unread_tokens = _unread(view, prompt, held)
        tokens = unread_tokens + prompt.own_tokens
        backlog_tokens = view.backlog_tokens + view.others_tokens(now_ms)
        first_ms = self.reading.expected_ms(tokens + backlog_tokens) * view.slowness
        shared_ms = self.reading.ms_per_token * (prompt.tokens - prompt.own_tokens)
        harm_ms = self._harm_ms(view, tokens) + view.late_part(now_ms) * prompt.gap_aim_ms
        cost = first_ms + harm_ms + self._distance_ms(view) + _RUNNING_MS * view.in_flight
        cost += _RANK_PART * shared_ms * min(rank, _MOST_RANK)
        cost += behind * self.reading.ms_per_token * unread_tokens
        cost += _trouble_ms(view, now_ms, _FAILURE_MS)
        return Candidate(view, cost, first_ms, tokens, backlog_tokens, harm_ms)

    def _harm_ms(self, view: ReplicaView, tokens: float) -> float:
        """Return what reading a prompt costs the streams that run there, in ms.

        A stream that would pause beyond its aim is taken to lose a part of that aim; one that has
        done so already loses nothing more.
        """
        pause_ms = self.pauses.expected_ms(tokens, view.interval_ms)
        if not pause_ms:
            return 0.0
        streams = view.streams_in_time()
        lost_ms = sum(risk(pause_ms, work.gap_aim_ms) * work.gap_aim_ms for work in streams)
        return _HARM_PART * lost_ms

    def _distance_ms(self, view: ReplicaView) -> float:
        is_near = view.replica.failure_domain == self.failure_domain
        return 0.0 if is_near else _OTHER_DOMAIN_MS

    def _fresh_holders(self, part: str, now_ms: float) -> frozenset[str]:
        holders = self.segments.holders(part)
        return frozenset(name for name, at in holders.items() if now_ms - at <= _MEMORY_MS)


def _cost(candidate: Candidate) -> float:
    return candidate.cost_ms


def _unread(view: ReplicaView, prompt: PromptShape, held: dict[str, frozenset[str]]) -> int:
    """Return how many tokens of the shared parts a replica probably has to read."""
    unread = 0
    still_held = True
    for part, tokens in prompt.shared:
        still_held = still_held and view.identity in held[part]
        if not still_held:
            unread += tokens
    return unread


def _trouble_ms(view: ReplicaView, now_ms: float, failure_ms: float) -> float:
    """Return what a replica's recent failures and silence add to its cost."""
    avoided = now_ms < view.avoid_until_ms or view.is_silent(now_ms)
    return view.failure_rate(now_ms) * failure_ms + (_AVOIDED_MS if avoided else 0.0)


def _ranks(views: Sequence[ReplicaView], anchor: str) -> dict[str, int]:
    """Return each replica's place for a part, the same at every router (rendezvous hashing)."""
    if not anchor:
        return {}

    def weight(view: ReplicaView) -> int:
        return xxhash.xxh64_intdigest(f"{anchor}/{view.identity}".encode())

    ordered = sorted(views, key=weight, reverse=True)
    return {view.identity: place for place, view in enumerate(ordered)}

"""Where prompts are placed while callers press: engines that read, routers that choose.

Each engine reads one prompt after the other and keeps the shared parts of those it read last.
Routers choose with the product's own chooser, and hear of each other's requests a little later.
Nothing is timed: all comes from a seed.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from aspengate.replicas import (
    Candidate,
    ChoicePolicy,
    InFlightRequest,
    PromptShape,
    Replica,
    ReplicaChooser,
    ReplicaView,
    SegmentTracker,
)

# An engine of no customer: what it reads in a ms, what a first token takes beyond that, and the
# tokens of shared parts that it keeps.
_TOKENS_A_MS = 40.0
_FIRST_MS = 20.0
_KEPT_TOKENS = 300_000
_ENGINES = 16
_ROUTERS = 12
# How long a stream goes on after its first token, in ms.
_OUTPUT_MS = 600.0
# How long after it was sent the other routers hear of a request, in ms.
_HEARD_MS = 100.0
_LENGTH_MS = 16_000.0


@dataclass(frozen=True)
class PromptKind:
    """Requests that share ``parts`` parts of ``part_tokens`` tokens, ``per_second`` of them."""

    name: str
    per_second: float
    parts: int
    part_tokens: int
    own_tokens: int
    aim_ms: float


KINDS = (
    PromptKind("long", 12.0, 100, 14_000, 3_500, 1_000.0),
    PromptKind("middle", 16.0, 80, 6_000, 3_000, 800.0),
    PromptKind("short", 18.0, 100, 400, 1_000, 600.0),
)


@dataclass(frozen=True)
class LoadPattern:
    """What happens between ``begin_ms`` and ``end_ms``.

    The traffic is ``times`` the usual, ``hot`` of each kind's requests ask for one part, and of
    the engines ``away`` are gone; 0 to 1 both.
    """

    name: str
    times: float = 1.0
    hot: float = 0.0
    away: float = 0.0
    begin_ms: float = 4_000.0
    end_ms: float = 12_000.0

    def holds(self, now_ms: float) -> bool:
        """Return whether it is in force."""
        return self.begin_ms <= now_ms < self.end_ms


PATTERNS = (
    LoadPattern("usual"),
    LoadPattern("burst", times=3.5),
    LoadPattern("hot key", times=1.5, hot=0.5),
    LoadPattern("half away", times=1.5, away=0.5),
    LoadPattern("jump", times=2.5, begin_ms=4_000.0, end_ms=6_000.0),
)

WAYS = {
    "own wait alone": ChoicePolicy(queue_weight=0.0),
    "with those behind": ChoicePolicy(queue_weight=1.0),
    "twice those behind": ChoicePolicy(queue_weight=2.0),
}


@dataclass
class OverloadResult:
    """What came of one pattern under one way; tokens are of shared parts that were read before."""

    pattern: str
    way: str
    in_time: int = 0
    late: int = 0
    tokens_read: int = 0
    tokens_again: int = 0
    late_by_kind: dict[str, int] = field(default_factory=dict)

    @property
    def requests(self) -> int:
        """All requests; each gets its first token at some time."""
        return self.in_time + self.late


class _Engine:
    """Reads one prompt after the other; ``free_ms`` is when it has read all that it was sent."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.free_ms = 0.0
        self.kept: OrderedDict[str, int] = OrderedDict()

    def read(self, shape: PromptShape, now_ms: float) -> tuple[float, int]:
        """Take a prompt; return when its first token comes, and the shared tokens read."""
        unread = sum(tokens for part, tokens in shape.shared if part not in self.kept)
        for part, tokens in shape.shared:
            self.kept[part] = tokens
            self.kept.move_to_end(part)
        while sum(self.kept.values()) > _KEPT_TOKENS:
            self.kept.popitem(last=False)
        self.free_ms = max(now_ms, self.free_ms) + (unread + shape.own_tokens) / _TOKENS_A_MS
        return self.free_ms + _FIRST_MS, unread


class _Router:
    def __init__(self, engines: Iterable[str], policy: ChoicePolicy) -> None:
        self.chooser = ReplicaChooser(SegmentTracker(), "here", policy)
        self.views = {
            name: ReplicaView(Replica(name, "model", "10.0.0.1:1", "here", 64)) for name in engines
        }

    def send(self, shape: PromptShape, here: set[str], tie: float, now_ms: float) -> Candidate:
        views = [view for name, view in self.views.items() if name in here]
        candidate = self.chooser.choose(views, shape, tie, now_ms)
        for part, _ in shape.shared:
            self.chooser.segments.record_sent(part, candidate.view.identity, now_ms)
        return candidate

    def hear(self, sent: Candidate, shape: PromptShape, now_ms: float) -> None:
        name = sent.view.identity
        self.views[name].record_remote_request(sent.tokens, sent.first_ms, now_ms)
        for part, _ in shape.shared:
            self.chooser.segments.record_sent(part, name, now_ms)


class _Play:
    """One pattern under one way."""

    def __init__(self, pattern: LoadPattern, way: str, seed: int) -> None:
        self.pattern = pattern
        self.source = random.Random(seed)
        self.engines = {f"e{number}": _Engine(f"e{number}") for number in range(_ENGINES)}
        self.routers = [_Router(self.engines, WAYS[way]) for _ in range(_ROUTERS)]
        self.result = OverloadResult(pattern.name, way)
        self.result.late_by_kind = {kind.name: 0 for kind in KINDS}
        self.read_before: set[str] = set()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()

    def run(self) -> OverloadResult:
        for kind in KINDS:
            self._next(kind, 0.0)
        while self._events:
            now_ms, _, action = heapq.heappop(self._events)
            action(now_ms)
        return self.result

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._numbers), action))

    def _next(self, kind: PromptKind, now_ms: float) -> None:
        times = self.pattern.times if self.pattern.holds(now_ms) else 1.0
        at_ms = now_ms + self.source.expovariate(kind.per_second * times / 1_000)
        if at_ms < _LENGTH_MS:
            self._at(at_ms, lambda now: self._arrive(kind, now))

    def _arrive(self, kind: PromptKind, now_ms: float) -> None:
        self._next(kind, now_ms)
        shape = self._shape(kind, now_ms)
        router = self.source.choice(self.routers)
        sent = router.send(shape, self._here(now_ms), self.source.random(), now_ms)
        work = sent.view.begin(now_ms, sent.tokens, 0.0)
        first_ms, unread = self.engines[sent.view.identity].read(shape, now_ms)
        self._count(kind, shape, first_ms - now_ms, unread)
        self._at(first_ms, lambda now: self._first(router, sent, work, now))
        self._at(now_ms + _HEARD_MS, lambda now: self._tell(router, sent, shape, now))

    def _shape(self, kind: PromptKind, now_ms: float) -> PromptShape:
        number = self.source.randrange(kind.parts)
        if self.pattern.holds(now_ms) and self.source.random() < self.pattern.hot:
            number = 0
        own = int(kind.own_tokens * self.source.uniform(0.5, 1.5))
        return PromptShape(((f"{kind.name}-{number}", kind.part_tokens),), own)

    def _here(self, now_ms: float) -> set[str]:
        names = list(self.engines)
        gone = int(len(names) * self.pattern.away) if self.pattern.holds(now_ms) else 0
        return set(names[gone:])

    def _count(self, kind: PromptKind, shape: PromptShape, first_ms: float, unread: int) -> None:
        result = self.result
        part = shape.affinity_segment
        result.tokens_read += unread + shape.own_tokens
        if part in self.read_before:
            result.tokens_again += unread
        self.read_before.add(part)
        if first_ms <= kind.aim_ms:
            result.in_time += 1
        else:
            result.late += 1
            result.late_by_kind[kind.name] += 1

    def _first(
        self, router: _Router, sent: Candidate, work: InFlightRequest, now_ms: float
    ) -> None:
        router.chooser.record_first_response(sent, work, now_ms)
        self._at(now_ms + _OUTPUT_MS, lambda now: sent.view.end(work, now))

    def _tell(self, sender: _Router, sent: Candidate, shape: PromptShape, now_ms: float) -> None:
        for router in self.routers:
            if router is not sender:
                router.hear(sent, shape, now_ms)


def run_overload(seed: int, patterns: Iterable[str] = ()) -> list[OverloadResult]:
    """Play each pattern, or those named, under each way."""
    wanted = set(patterns)
    return [
        _Play(pattern, way, seed).run()
        for pattern in PATTERNS
        if not wanted or pattern.name in wanted
        for way in WAYS
    ]


def overload_text(results: Iterable[OverloadResult]) -> str:
    """Return a table of results; tokens in thousands."""
    lines = ["pattern      way                  requests  in time  late   read  read again"]
    for each in results:
        lines.append(
            f"{each.pattern:12} {each.way:20} {each.requests:8} {each.in_time:8} {each.late:5} "
            f"{each.tokens_read // 1_000:6} {each.tokens_again // 1_000:11}"
        )
    return "\n".join(lines) + "\n"

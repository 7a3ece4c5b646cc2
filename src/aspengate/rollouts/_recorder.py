"""Records the attempts of one router as evidence."""

import contextlib
import threading
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from aspengate.rollouts._cohort import Cohort
from aspengate.rollouts._evidence import CohortEvidence, Evidence, ReplicaEvidence, RouteEvidence
from aspengate.rollouts._histogram import Histogram, bucket_of

# Routes that are recorded by name, and pairs of route and target replica. They bound the size of a
# report: what is beyond them is recorded under "".
_MAX_ROUTES = 16
_MAX_ROUTE_REPLICAS = 128
_OTHER = ""


def _counts() -> defaultdict[int, int]:
    return defaultdict(int)


@dataclass(eq=False)
class _ReplicaCounts:
    """Attempts at one replica; ``waiting`` holds the times at which unanswered ones began."""

    completed: int = 0
    failed: int = 0
    waiting: dict["AttemptEvidence", float] = field(default_factory=dict)

    def evidence(self, now_ms: float) -> ReplicaEvidence:
        """Return these counts with the ages of the unanswered attempts."""
        ages = _counts()
        for begun_ms in self.waiting.values():
            ages[bucket_of(now_ms - begun_ms)] += 1
        return ReplicaEvidence(self.completed, self.failed, Histogram(dict(ages)))


@dataclass(eq=False)
class _CohortCounts:
    """The attempts of one route at one cohort; see ``CohortEvidence``."""

    sent: int = 0
    answered: int = 0
    in_flight: int = 0
    first_ratios: defaultdict[int, int] = field(default_factory=_counts)
    first_ms: defaultdict[int, int] = field(default_factory=_counts)
    complete_ms: defaultdict[int, int] = field(default_factory=_counts)
    pauses_ms: defaultdict[int, int] = field(default_factory=_counts)
    replicas: dict[str, _ReplicaCounts] = field(default_factory=dict)

    def evidence(self, now_ms: float) -> CohortEvidence:
        """Return a copy of these counts."""
        return CohortEvidence(
            self.sent,
            self.answered,
            self.in_flight,
            Histogram(dict(self.first_ratios)),
            Histogram(dict(self.first_ms)),
            Histogram(dict(self.complete_ms)),
            Histogram(dict(self.pauses_ms)),
            {name: each.evidence(now_ms) for name, each in self.replicas.items()},
        )


class AttemptEvidence:
    """One attempt. Its methods may be called from any thread; calls after ``end`` do nothing."""

    def __init__(
        self,
        recorder: "EvidenceRecorder",
        counts: _CohortCounts,
        replica: _ReplicaCounts,
        begun_ms: float,
        *,
        cold: bool,
    ) -> None:
        self._recorder = recorder
        self._counts = counts
        self._replica = replica
        self._begun_ms = begun_ms
        self._is_cold = cold
        self._is_answered = False
        self._has_ended = False

    def first_response(self, ratio: float | None, now_ms: float) -> None:
        """Record the first response; ``ratio`` is its time over the expected one, if known.

        Not to be called for refusals that state that the request was not executed.
        """
        with self._recorder.changes():
            if not (self._has_ended or self._is_answered):
                self._answer()
                if not self._is_cold:
                    self._counts.first_ms[bucket_of(now_ms - self._begun_ms)] += 1
                    if ratio is not None:
                        self._counts.first_ratios[bucket_of(ratio)] += 1

    def end(
        self,
        failed: bool | None,
        total_ms: float | None = None,
        longest_pause_ms: float | None = None,
        *,
        cold: bool = False,
    ) -> None:
        """Record the end.

        ``failed`` is None if the outcome does not count: refused as not executed, not connected,
        or the caller disconnected. ``total_ms`` is given for plain requests and
        ``longest_pause_ms`` for streams; both are ignored if the replica is ``cold``.
        """
        with self._recorder.changes():
            if self._has_ended:
                return
            self._has_ended = True
            self._counts.in_flight -= 1
            self._replica.waiting.pop(self, None)
            if failed is None:
                return
            if failed:
                self._replica.failed += 1
            else:
                self._replica.completed += 1
                if not (cold or self._is_cold):
                    self._record_latencies(total_ms, longest_pause_ms)
            if not self._is_answered:
                self._answer()

    def _answer(self) -> None:
        self._is_answered = True
        self._counts.answered += 1
        self._replica.waiting.pop(self, None)

    def _record_latencies(self, total_ms: float | None, longest_pause_ms: float | None) -> None:
        """Record the latencies of a correct response, at a replica that is not cold."""
        if total_ms is not None:
            self._counts.complete_ms[bucket_of(total_ms)] += 1
            if not self._is_answered:
                self._counts.first_ms[bucket_of(total_ms)] += 1
        if longest_pause_ms is not None:
            self._counts.pauses_ms[bucket_of(longest_pause_ms)] += 1


class EvidenceRecorder:
    """Records the attempts of one service at this router; thread-safe."""

    def __init__(self, generation: int = 0) -> None:
        self._generation = generation
        self._lock = threading.Lock()
        self._routes: dict[str, dict[Cohort, _CohortCounts]] = {}
        self._latest: Evidence | None = None

    @property
    def generation(self) -> int:
        """The generation that is recorded."""
        return self._generation

    def begin(
        self, route: str, cohort: Cohort, replica: str, now_ms: float, *, cold: bool = False
    ) -> AttemptEvidence:
        """Record that an attempt is sent.

        The latencies of an attempt at a ``cold`` replica, and its silence, do not count.
        """
        with self.changes():
            if route not in self._routes and len(self._routes) >= _MAX_ROUTES:
                route = _OTHER
            if route not in self._routes:
                self._routes[route] = {each: _CohortCounts() for each in Cohort}
            counts = self._routes[route][cohort]
            replica_counts = self._replica_counts(counts, cohort, replica)
            attempt = AttemptEvidence(self, counts, replica_counts, now_ms, cold=cold)
            counts.sent += 1
            counts.in_flight += 1
            if not cold:
                replica_counts.waiting[attempt] = now_ms
            return attempt

    def _replica_counts(
        self, counts: _CohortCounts, cohort: Cohort, replica: str
    ) -> _ReplicaCounts:
        """Return the counts of a replica, or the common ones of those without a name."""
        name = replica if cohort is Cohort.TARGET else _OTHER
        if name not in counts.replicas:
            named = sum(len(each[Cohort.TARGET].replicas) for each in self._routes.values())
            if named >= _MAX_ROUTE_REPLICAS:
                name = _OTHER
        return counts.replicas.setdefault(name, _ReplicaCounts())

    def snapshot(self, now_ms: float) -> Evidence:
        """Return the evidence since the last reset; the same object while nothing changes."""
        with self._lock:
            if self._latest is None or self._has_waiting():
                self._latest = Evidence(
                    self._generation,
                    {
                        name: RouteEvidence(
                            each[Cohort.TARGET].evidence(now_ms),
                            each[Cohort.BASELINE].evidence(now_ms),
                        )
                        for name, each in self._routes.items()
                    },
                )
            return self._latest

    def _has_waiting(self) -> bool:
        """Return whether an attempt is unanswered, so that its age changes; the lock is held."""
        return any(
            replica.waiting
            for route in self._routes.values()
            for counts in route.values()
            for replica in counts.replicas.values()
        )

    def reset(self, generation: int) -> None:
        """Begin a generation without evidence; attempts that are in flight no longer count."""
        with self.changes():
            self._generation = generation
            self._routes = {}

    @contextlib.contextmanager
    def changes(self) -> Iterator[None]:
        """Hold the lock during a change, after which the next snapshot is taken anew."""
        with self._lock:
            self._latest = None
            yield

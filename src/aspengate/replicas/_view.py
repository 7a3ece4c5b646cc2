"""A replica and what one router knows of it from its own requests."""

import itertools
import threading
from dataclasses import dataclass, field

from aspengate.replicas._replica import Replica

_FAILURE_WEIGHT = 0.35
_FAILURE_HALF_LIFE_MS = 4_000.0
_PACE_WEIGHT = 0.15
_LEAST_PACE = 0.5
_MOST_PACE = 8.0
_USUAL_ANSWER_MS = 50.0
_ANSWER_WEIGHT = 0.2
_SILENT_MS = 1_000.0

_numbers = itertools.count()


@dataclass
class Work:
    """One request at a replica; ``backlog_ms`` is about how long its prompt takes to read."""

    begun_ms: float
    backlog_ms: float = 0.0
    answered: bool = False
    number: int = field(default_factory=lambda: next(_numbers))


class ReplicaView:
    """A replica with a router's own experience.

    ``failure_rate`` is the recent part of requests that failed there, fading with time.
    ``pace`` is how long first tokens take against what was expected, which also tells of other
    routers' load. ``answer_ms`` is how long whole answers usually take.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.pace = 1.0
        self.answer_ms = _USUAL_ANSWER_MS
        self.last_sign_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self._failure_rate = 0.0
        self._failed_ms = 0.0
        self._works: dict[int, Work] = {}
        self._lock = threading.Lock()

    @property
    def identity(self) -> str:
        """The replica's own id."""
        return self.replica.identity

    @property
    def in_flight(self) -> int:
        """How many of this router's requests are there."""
        return len(self._works)

    @property
    def backlog_ms(self) -> float:
        """About how long it reads the prompts of this router's requests without an answer."""
        with self._lock:
            return sum(work.backlog_ms for work in self._works.values() if not work.answered)

    def failure_rate(self, now_ms: float) -> float:
        """Return the recent part of requests that failed, 0 to 1."""
        age = max(0.0, now_ms - self._failed_ms)
        return float(self._failure_rate * 0.5 ** (age / _FAILURE_HALF_LIFE_MS))

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing came for long though some request waits for its beginning."""
        with self._lock:
            waiting = [work.begun_ms for work in self._works.values() if not work.answered]
        if not waiting:
            return False
        return now_ms - max(self.last_sign_ms, min(waiting)) > _SILENT_MS

    def begin(self, now_ms: float, backlog_ms: float) -> Work:
        """Count a request in."""
        work = Work(now_ms, backlog_ms)
        with self._lock:
            self._works[work.number] = work
        return work

    def first_answer(self, work: Work, expected_ms: float, now_ms: float) -> None:
        """Note that a request's answer has begun, which was expected to take ``expected_ms``."""
        if work.answered:
            return
        with self._lock:
            work.answered = True
        self.last_sign_ms = now_ms
        observed = (now_ms - work.begun_ms) / max(1.0, expected_ms)
        bounded = min(_MOST_PACE, max(_LEAST_PACE, observed))
        self.pace += _PACE_WEIGHT * (bounded - self.pace)

    def sign_of_life(self, now_ms: float) -> None:
        """Note that something came from the replica."""
        self.last_sign_ms = now_ms

    def end(self, work: Work) -> None:
        """Count a request out."""
        with self._lock:
            self._works.pop(work.number, None)

    def succeeded(self, now_ms: float, answer_ms: float | None = None) -> None:
        """Note a whole answer; ``answer_ms`` is how long it took, where that tells anything."""
        self._note(0.0, now_ms)
        if answer_ms is not None:
            self.answer_ms += _ANSWER_WEIGHT * (answer_ms - self.answer_ms)

    def failed(self, now_ms: float) -> None:
        """Note a request that the replica failed."""
        self._note(1.0, now_ms)

    def unreached(self, now_ms: float, pause_ms: float) -> None:
        """Note that no connection came up; the replica is avoided for a while."""
        self.avoid_until_ms = now_ms + pause_ms

    def _note(self, failure: float, now_ms: float) -> None:
        with self._lock:
            rate = self.failure_rate(now_ms)
            self._failure_rate = rate + _FAILURE_WEIGHT * (failure - rate)
            self._failed_ms = now_ms

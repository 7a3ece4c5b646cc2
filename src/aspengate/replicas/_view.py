"""A replica and what one router knows of it from its own requests."""

import heapq
import itertools
import threading
from collections import deque
from dataclasses import dataclass, field

from aspengate.replicas._replica import Replica
from aspengate.replicas._reported_state import ReportedState

# A third failure in a row brings the rate to about 0.7; fading keeps a replica that was mended out
# for some seconds only. Choices.
_FAILURE_WEIGHT = 0.35
_FAILURE_HALF_LIFE_MS = 4_000.0
# A single first token is a noisy sample of how slow a replica is; 0.15 averages about six.
_SLOWNESS_WEIGHT = 0.15
# One first token outside of these bounds, as parts of the usual, tells of something else. A choice.
_LEAST_SLOWNESS = 0.3
_MOST_SLOWNESS = 8.0
# What a whole answer of a plain service takes before one was seen, in ms; a guess, soon replaced.
_USUAL_ANSWER_MS = 50.0
_ANSWER_WEIGHT = 0.2
# A replica that says nothing for so long, in ms, while a request waits there is avoided. A choice.
_SILENT_MS = 1_000.0
_INTERVAL_WEIGHT = 0.2
# The first of four parts of the sorted gaps: with a prompt read in half of the steps the middle
# one would be a pause already. A choice.
_INTERVAL_RANK = 4
# Events that come in one packet lie closer than this; they tell nothing of the engine's step.
_TOGETHER_MS = 1.0
# Of fewer events no usual gap can be told; more gaps than this of one stream tell nothing new.
_LEAST_EVENTS = 8
_MOST_GAPS = 64
# The late part remembers about ten streams, and half of it for 15 s without any, after which the
# replica is tried again. Choices.
_LATE_WEIGHT = 0.1
_LATE_HALF_LIFE_MS = 15_000.0

# Of other routers' requests at one replica so many are kept; more would not be read in time.
_MOST_OTHERS = 256
# Marks the number of a start in its name, which no id or time holds.
_START_MARK = "#"

_numbers = itertools.count()


@dataclass
class InFlightRequest:
    """One request at a replica; ``tokens`` of its prompt are probably to be read.

    ``gap_aim_ms`` is the longest pause between its events that is in time, 0 where it has none;
    ``longest_gap_ms`` is the longest so far. Times are in monotonic milliseconds.
    """

    started_ms: float
    tokens: float = 0.0
    gap_aim_ms: float = 0.0
    has_response: bool = False
    last_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    gaps: list[float] = field(default_factory=list)
    number: int = field(default_factory=lambda: next(_numbers))

    @property
    def is_in_time(self) -> bool:
        """Whether it is a stream that has begun, and made no pause beyond its aim yet."""
        return self.last_event_ms > 0 and self.longest_gap_ms <= self.gap_aim_ms


class ReplicaView:
    """One start of a replica with a router's own experience.

    ``starts`` is how many earlier ones were seen that did not tell their time.
    ``failure_rate`` is the recent part of requests that failed there, fading with time.
    ``slowness`` is how long first tokens take there against what is usual, which also tells of
    other routers' load. ``interval_ms`` is the usual time between two events of a stream, 0 where
    it is not known. ``answer_ms`` is how long whole answers usually take. Until
    ``replaced_until_ms``, in monotonic time, it gets no request: another replica answers there.
    By its own word it is cold until ``cold_until_ms``; it may be cold from ``returned_ms`` on, when
    its failure domain's evacuation ended. ``said`` is what it has said of itself in answers, and
    ``told_unreadable`` whether a line tells of something there that can't be read.
    """

    def __init__(self, replica: Replica, starts: int = 0) -> None:
        self.replica = replica
        self.starts = starts
        self.slowness = 1.0
        self.interval_ms = 0.0
        self.answer_ms = _USUAL_ANSWER_MS
        self.last_activity_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self.replaced_until_ms = float("-inf")
        self.cold_until_ms = float("-inf")
        self.returned_ms = float("-inf")
        self.reported = ReportedState()
        self.told_unreadable = False
        self._failure_rate = 0.0
        self._failed_ms = 0.0
        self._late_part = 0.0
        self._late_ms = 0.0
        self._works: dict[int, InFlightRequest] = {}
        self._others: list[tuple[float, float]] = []
        self._gaps: deque[tuple[float, float]] = deque(maxlen=_MOST_GAPS)
        self._lock = threading.Lock()

    @property
    def identity(self) -> str:
        """The replica's own id."""
        return self.replica.identity

    @property
    def incarnation(self) -> str:
        """The name of its present start, which no other one has at this router."""
        mark = f"{_START_MARK}{self.starts}" if self.starts else ""
        return f"{self.replica.incarnation}{mark}"

    @property
    def in_flight(self) -> int:
        """How many of this router's requests are there."""
        return len(self._works)

    def is_cold(self, now_ms: float, cold_start_ms: float) -> bool:
        """Return whether it may be cold; ``cold_start_ms`` is how long its service's stay so."""
        return now_ms < max(self.cold_until_ms, self.returned_ms + cold_start_ms)

    @property
    def backlog_tokens(self) -> float:
        """The prompt tokens of this router's requests that wait there to be read."""
        with self._lock:
            return sum(work.tokens for work in self._works.values() if not work.has_response)

    @property
    def was_replaced(self) -> bool:
        """Whether it was ever left out since another replica answered at its address."""
        return self.replaced_until_ms > float("-inf")

    def others_tokens(self, now_ms: float) -> float:
        """Return the prompt tokens of other routers' requests that probably wait there."""
        with self._lock:
            while self._others and self._others[0][0] <= now_ms:
                heapq.heappop(self._others)
            return sum(tokens for _, tokens in self._others)

    def waiting(self, now_ms: float) -> int:
        """Return how many requests probably wait there for their first token, of all routers."""
        self.others_tokens(now_ms)
        with self._lock:
            return len(self._others) + sum(not work.has_response for work in self._works.values())

    def record_remote_request(self, tokens: float, expected_ms: float, now_ms: float) -> None:
        """Note a request of another router, whose first token is expected after ``expected_ms``.

        It is taken to be read by then: nobody tells of its first token.
        """
        with self._lock:
            if len(self._others) < _MOST_OTHERS:
                heapq.heappush(self._others, (now_ms + expected_ms, tokens))

    def streams_in_time(self) -> list[InFlightRequest]:
        """Return this router's streams there that made no pause beyond their aim yet."""
        with self._lock:
            return [work for work in self._works.values() if work.is_in_time]

    def failure_rate(self, now_ms: float) -> float:
        """Return the recent part of requests that failed, 0 to 1."""
        age = max(0.0, now_ms - self._failed_ms)
        return float(self._failure_rate * 0.5 ** (age / _FAILURE_HALF_LIFE_MS))

    def late_part(self, now_ms: float) -> float:
        """Return the recent part of streams that made too long a pause, 0 to 1."""
        age = max(0.0, now_ms - self._late_ms)
        return float(self._late_part * 0.5 ** (age / _LATE_HALF_LIFE_MS))

    def is_silent(self, now_ms: float) -> bool:
        """Return whether nothing came for long though some request waits for its beginning."""
        with self._lock:
            waiting = [work.started_ms for work in self._works.values() if not work.has_response]
        if not waiting:
            return False
        return now_ms - max(self.last_activity_ms, min(waiting)) > _SILENT_MS

    def begin(self, now_ms: float, tokens: float, gap_aim_ms: float = 0.0) -> InFlightRequest:
        """Count a request in."""
        work = InFlightRequest(now_ms, tokens, gap_aim_ms)
        with self._lock:
            self._works[work.number] = work
        return work

    def record_first_response(
        self, work: InFlightRequest, expected_ms: float, now_ms: float
    ) -> None:
        """Note that a request's answer has begun, which usually takes ``expected_ms``."""
        if work.has_response:
            return
        with self._lock:
            work.has_response = True
        self.last_activity_ms = now_ms
        observed = (now_ms - work.started_ms) / max(1.0, expected_ms)
        bounded = min(_MOST_SLOWNESS, max(_LEAST_SLOWNESS, observed))
        self.slowness += _SLOWNESS_WEIGHT * (bounded - self.slowness)

    def record_event(self, work: InFlightRequest, now_ms: float) -> None:
        """Note that an event of a stream has come."""
        self.last_activity_ms = now_ms
        if work.last_event_ms:
            gap_ms = now_ms - work.last_event_ms
            work.longest_gap_ms = max(work.longest_gap_ms, gap_ms)
            if gap_ms > _TOGETHER_MS and len(work.gaps) < _MOST_GAPS:
                work.gaps.append(gap_ms)
            if gap_ms > 2 * self.interval_ms:
                self._gaps.append((now_ms, gap_ms))
        work.last_event_ms = now_ms

    def longest_pause_since(self, since_ms: float, now_ms: float, own: InFlightRequest) -> float:
        """Return the longest pause of other streams that ended after a time or goes on, in ms."""
        with self._lock:
            others = [work for work in self._works.values() if work is not own]
            ended = [gap_ms for at_ms, gap_ms in self._gaps if at_ms >= since_ms]
        going_on = [now_ms - work.last_event_ms for work in others if work.last_event_ms]
        return max((*ended, *going_on), default=0.0)

    def record_activity(self, now_ms: float) -> None:
        """Note that something came from the replica."""
        self.last_activity_ms = now_ms

    def end(self, work: InFlightRequest, now_ms: float) -> None:
        """Count a request out, and learn from its stream."""
        with self._lock:
            self._works.pop(work.number, None)
            if len(work.gaps) >= _LEAST_EVENTS:
                usual_ms = sorted(work.gaps)[len(work.gaps) // _INTERVAL_RANK]
                before_ms = self.interval_ms or usual_ms
                self.interval_ms = before_ms + _INTERVAL_WEIGHT * (usual_ms - before_ms)
            if work.last_event_ms and work.gap_aim_ms:
                is_late = work.longest_gap_ms > work.gap_aim_ms
                part = self.late_part(now_ms)
                self._late_part = part + _LATE_WEIGHT * (is_late - part)
                self._late_ms = now_ms

    def record_success(self, now_ms: float, answer_ms: float | None = None) -> None:
        """Note a whole answer; ``answer_ms`` is how long it took, where that tells anything."""
        self._note(0.0, now_ms)
        if answer_ms is not None:
            self.answer_ms += _ANSWER_WEIGHT * (answer_ms - self.answer_ms)

    def record_failure(self, now_ms: float) -> None:
        """Note a request that the replica failed."""
        self._note(1.0, now_ms)

    def record_unreachable(self, now_ms: float, pause_ms: float) -> None:
        """Note that no connection came up; the replica is avoided for a while."""
        self.avoid_until_ms = now_ms + pause_ms

    def _note(self, failure: float, now_ms: float) -> None:
        with self._lock:
            rate = self.failure_rate(now_ms)
            self._failure_rate = rate + _FAILURE_WEIGHT * (failure - rate)
            self._failed_ms = now_ms

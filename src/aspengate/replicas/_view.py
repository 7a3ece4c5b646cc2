"""A router's view of one incarnation of a replica, from its own requests and peers' messages."""

import heapq
import itertools
import threading
from collections import deque
from dataclasses import dataclass, field

from aspengate.replicas._replica import Replica
from aspengate.replicas._reported_state import ReportedState
from aspengate.replicas._response_estimate import ResponseEstimate, remaining_weight

# Three failures in a row raise the rate to about 0.7. Its decay keeps a replica that has recovered
# out of use for a few seconds only.
_FAILURE_WEIGHT = 0.35
_FAILURE_HALF_LIFE_MS = 4_000.0
# A single first token is a noisy sample of slowness; this weight averages over about six of them.
_SLOWNESS_WEIGHT = 0.15
# Ratios of observed to expected time outside of these bounds have other causes than slowness.
_MIN_SLOWNESS = 0.3
_MAX_SLOWNESS = 8.0
# Slowness approaches 1 with this half-life, but only after some time without first tokens, so that
# nothing changes for engines that are in use.
_SLOWNESS_KEPT_MS = 10_000.0
_SLOWNESS_HALF_LIFE_MS = 30_000.0
# A replica that sends nothing for this long while a request waits there is avoided.
_UNRESPONSIVE_MS = 1_000.0
_INTERVAL_WEIGHT = 0.2
# The interval is the first quartile of the sorted gaps: if prompts are read during half of the
# decoding steps, the median would already be a pause.
_INTERVAL_QUANTILE_DIVISOR = 4
# Shorter gaps are between events of one packet and do not reflect the engine's decoding steps.
_MIN_GAP_MS = 1.0
# Fewer gaps are too few for an estimate; more gaps of one stream do not improve it.
_MIN_GAPS = 8
_MAX_GAPS = 64
# The fraction of late streams averages over about ten streams. It halves every 15 s without any, so
# that the replica is tried again.
_LATE_WEIGHT = 0.1
_LATE_HALF_LIFE_MS = 15_000.0

# Limit on the tracked requests of other routers at one replica: the replica would not read more
# prompts in time.
_MAX_REMOTE_REQUESTS = 256
# Separates the number of a start in an incarnation's name; no id or time contains it.
_INCARNATION_MARK = "#"

_numbers = itertools.count()


@dataclass
class InFlightRequest:
    """Tracks one request at a replica, of whose prompt ``tokens`` probably have to be read.

    ``gap_aim_ms`` is the longest allowed pause between its events, 0 if there is none, and
    ``longest_gap_ms`` the longest so far. Times are in monotonic milliseconds.
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
        """Whether it is a stream that has begun and has not exceeded its allowed pause."""
        return self.last_event_ms > 0 and self.longest_gap_ms <= self.gap_aim_ms


class ReplicaView:
    """Holds the state, as known to one router, of one incarnation of a replica.

    ``previous_starts`` counts the earlier incarnations, for a replica whose record has no start
    time. ``slowness`` is the usual ratio of observed to expected time to first token as of the last
    one, which also reflects the load by other routers. ``interval_ms`` is the usual time between
    two events of a stream, 0 if unknown, and ``response`` the usual time of a complete plain
    response. ``chosen_ms`` is when it was last chosen for a plain request and ``responded_ms`` when
    the last response began, both in monotonic time.

    Until ``replaced_until_ms``, in monotonic time, the incarnation receives no requests, as another
    replica responded at its address. By its record it is cold until ``cold_until_ms``; it may also
    be cold from ``evacuation_ended_ms`` on, when the evacuation of its failure domain ended.
    ``listed_ms`` is when this incarnation was listed, and ``refused_ms`` when its address last
    refused a connection of this router, in monotonic time.
    ``reported`` is the state from its responses, and ``unreadable_logged`` is whether an unreadable
    limit has been logged.
    """

    def __init__(self, replica: Replica, previous_starts: int = 0) -> None:
        self.replica = replica
        self.previous_starts = previous_starts
        self.slowness = 1.0
        self.interval_ms = 0.0
        self.response = ResponseEstimate()
        self.chosen_ms = float("-inf")
        self.responded_ms = float("-inf")
        self.last_activity_ms = float("-inf")
        self.avoid_until_ms = float("-inf")
        self.listed_ms = float("-inf")
        self.refused_ms = float("-inf")
        self.replaced_until_ms = float("-inf")
        self.cold_until_ms = float("-inf")
        self.evacuation_ended_ms = float("-inf")
        self.reported = ReportedState()
        self.unreadable_logged = False
        self._failure_rate = 0.0
        self._failed_ms = 0.0
        self._late_fraction = 0.0
        self._late_ms = 0.0
        self._in_flight: dict[int, InFlightRequest] = {}
        self._remote_requests: list[tuple[float, float]] = []
        self._gaps: deque[tuple[float, float]] = deque(maxlen=_MAX_GAPS)
        self._lock = threading.Lock()

    @property
    def identity(self) -> str:
        """The replica's id, which stays the same when it restarts."""
        return self.replica.identity

    @property
    def incarnation(self) -> str:
        """The name of this incarnation, unique at this router."""
        mark = f"{_INCARNATION_MARK}{self.previous_starts}" if self.previous_starts else ""
        return f"{self.replica.incarnation}{mark}"

    @property
    def in_flight(self) -> int:
        """The number of this router's requests in flight there."""
        return len(self._in_flight)

    def is_cold(self, now_ms: float, cold_start_ms: float) -> bool:
        """Return whether it may be cold.

        ``cold_start_ms`` is how long replicas of its service stay cold after a start.
        """
        return now_ms < max(self.cold_until_ms, self.evacuation_ended_ms + cold_start_ms)

    @property
    def backlog_tokens(self) -> float:
        """The prompt tokens of this router's requests that have no response yet."""
        with self._lock:
            return sum(
                request.tokens for request in self._in_flight.values() if not request.has_response
            )

    @property
    def has_responded(self) -> bool:
        """Whether a response that was not refused has ever begun."""
        return self.responded_ms > float("-inf")

    @property
    def was_replaced(self) -> bool:
        """Whether it was ever excluded because another replica responded at its address."""
        return self.replaced_until_ms > float("-inf")

    def remote_backlog_tokens(self, now_ms: float) -> float:
        """Return the prompt tokens of other routers' requests that probably wait there.

        Requests whose first token is due by ``now_ms`` are dropped.
        """
        with self._lock:
            while self._remote_requests and self._remote_requests[0][0] <= now_ms:
                heapq.heappop(self._remote_requests)
            return sum(tokens for _, tokens in self._remote_requests)

    def waiting_requests(self, now_ms: float) -> int:
        """Return how many requests of all routers probably wait there for their first token."""
        self.remote_backlog_tokens(now_ms)
        with self._lock:
            return len(self._remote_requests) + sum(
                not request.has_response for request in self._in_flight.values()
            )

    def record_remote_request(self, tokens: float, expected_ms: float, now_ms: float) -> None:
        """Record a request of another router, whose first token is expected after ``expected_ms``.

        Its prompt is assumed to have been read by then, as no message reports its first token.
        """
        with self._lock:
            if len(self._remote_requests) < _MAX_REMOTE_REQUESTS:
                heapq.heappush(self._remote_requests, (now_ms + expected_ms, tokens))

    def streams_in_time(self) -> list[InFlightRequest]:
        """Return this router's streams there that have not exceeded their allowed pause."""
        with self._lock:
            return [request for request in self._in_flight.values() if request.is_in_time]

    def failure_rate(self, now_ms: float) -> float:
        """Return the recent fraction of requests that failed, 0 to 1."""
        age_ms = now_ms - self._failed_ms
        return self._failure_rate * remaining_weight(age_ms, _FAILURE_HALF_LIFE_MS)

    def late_fraction(self, now_ms: float) -> float:
        """Return the recent fraction of streams that exceeded their allowed pause, 0 to 1."""
        return self._late_fraction * remaining_weight(now_ms - self._late_ms, _LATE_HALF_LIFE_MS)

    def slowness_at(self, now_ms: float) -> float:
        """Return the slowness, moved towards 1 by the time without first tokens."""
        if not self.has_responded:
            return self.slowness
        unused_ms = now_ms - self.responded_ms - _SLOWNESS_KEPT_MS
        return 1.0 + (self.slowness - 1.0) * remaining_weight(unused_ms, _SLOWNESS_HALF_LIFE_MS)

    def is_unresponsive(self, now_ms: float) -> bool:
        """Return whether a request waits for a response and nothing was received for long."""
        with self._lock:
            waiting = [
                request.started_ms
                for request in self._in_flight.values()
                if not request.has_response
            ]
        if not waiting:
            return False
        return now_ms - max(self.last_activity_ms, min(waiting)) > _UNRESPONSIVE_MS

    def begin(self, now_ms: float, tokens: float, gap_aim_ms: float = 0.0) -> InFlightRequest:
        """Add a request in flight."""
        request = InFlightRequest(now_ms, tokens, gap_aim_ms)
        with self._lock:
            self._in_flight[request.number] = request
        return request

    def record_first_response(
        self, request: InFlightRequest, expected_ms: float, now_ms: float
    ) -> None:
        """Record that a response has begun, which was expected after ``expected_ms``.

        Calls after the first one for a request have no effect.
        """
        if request.has_response:
            return
        with self._lock:
            request.has_response = True
        self.last_activity_ms = now_ms
        observed = (now_ms - request.started_ms) / max(1.0, expected_ms)
        bounded = min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, observed))
        before = self.slowness_at(now_ms)
        self.slowness = before + _SLOWNESS_WEIGHT * (bounded - before)
        self.responded_ms = now_ms

    def record_event(self, request: InFlightRequest, now_ms: float) -> None:
        """Record an event of a stream."""
        self.last_activity_ms = now_ms
        if request.last_event_ms:
            gap_ms = now_ms - request.last_event_ms
            request.longest_gap_ms = max(request.longest_gap_ms, gap_ms)
            if gap_ms > _MIN_GAP_MS and len(request.gaps) < _MAX_GAPS:
                request.gaps.append(gap_ms)
            if gap_ms > 2 * self.interval_ms:
                self._gaps.append((now_ms, gap_ms))
        request.last_event_ms = now_ms

    def longest_pause_since(self, since_ms: float, now_ms: float, own: InFlightRequest) -> float:
        """Return the longest pause, in ms, of other streams that ended since a time or goes on."""
        with self._lock:
            others = [request for request in self._in_flight.values() if request is not own]
            ended = [gap_ms for at_ms, gap_ms in self._gaps if at_ms >= since_ms]
        going_on = [now_ms - request.last_event_ms for request in others if request.last_event_ms]
        return max((*ended, *going_on), default=0.0)

    def record_activity(self, now_ms: float) -> None:
        """Record that data was received from the replica."""
        self.last_activity_ms = now_ms

    def end(self, request: InFlightRequest, now_ms: float) -> None:
        """Remove a request in flight, and update the estimates from its stream."""
        with self._lock:
            self._in_flight.pop(request.number, None)
            self.response.used_ms = now_ms
            if len(request.gaps) >= _MIN_GAPS:
                usual_ms = sorted(request.gaps)[len(request.gaps) // _INTERVAL_QUANTILE_DIVISOR]
                before_ms = self.interval_ms or usual_ms
                self.interval_ms = before_ms + _INTERVAL_WEIGHT * (usual_ms - before_ms)
            if request.last_event_ms and request.gap_aim_ms:
                is_late = request.longest_gap_ms > request.gap_aim_ms
                fraction = self.late_fraction(now_ms)
                self._late_fraction = fraction + _LATE_WEIGHT * (is_late - fraction)
                self._late_ms = now_ms

    def record_success(self, now_ms: float, response_ms: float | None = None) -> None:
        """Record a complete response.

        ``response_ms`` is how long it took, None if that is no sample of plain responses.
        """
        self._record_outcome(0.0, now_ms)
        if response_ms is not None:
            with self._lock:
                self.response.record(response_ms, now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Record a request that failed at the replica."""
        self._record_outcome(1.0, now_ms)

    def record_unreachable(self, now_ms: float, pause_ms: float, *, refused: bool) -> None:
        """Record a failed connection, and avoid the replica for ``pause_ms``.

        ``refused`` is whether nothing listened at its address.
        """
        self.avoid_until_ms = now_ms + pause_ms
        if refused:
            self.refused_ms = now_ms

    def _record_outcome(self, failure: float, now_ms: float) -> None:
        with self._lock:
            rate = self.failure_rate(now_ms)
            self._failure_rate = rate + _FAILURE_WEIGHT * (failure - rate)
            self._failed_ms = now_ms

"""Writes one log line per request: what was requested, the decisions on it, and its outcome."""

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._progress import Progress
from aspengate.telemetry import Counters, log_change

# Limits the part of a line that a caller can lengthen.
_MAX_SEGMENTS = 8
_MAX_SEGMENT_CHARS = 64
_MAX_FIELD_CHARS = 256
_MAX_REASON_CHARS = 2_000


class RequestLog:
    """Logs and counts the end of each request.

    Beyond ``max_lines_per_second``, successful requests are only counted; the next line that is
    written carries that count as ``folded``. Failed requests are always logged.
    """

    def __init__(self, clock: Clock, counters: Counters, max_lines_per_second: int = 200) -> None:
        self.clock = clock
        self.counters = counters
        self.max_lines_per_second = max_lines_per_second
        self._second = 0
        self._lines = 0
        self._folded = 0

    def record_end(
        self,
        request_id: str,
        received_ms: float,
        exchange: Exchange | None,
        progress: Progress,
        error: AspengateError | None,
    ) -> None:
        """Log the end of a request; ``error`` is the error reported to the caller, if any."""
        now = self.clock.monotonic_ms()
        outcome = error.kind.value if error else "answered"
        self.counters.count(f"request.{outcome}")
        self.counters.timing("request.held", now - received_ms)
        if progress.first_event_ms:
            self.counters.timing("request.first_event", progress.first_event_ms - received_ms)
            self.counters.timing("request.longest_gap", progress.longest_gap_ms)
        if error is None and self._exceeds_line_limit(now):
            return
        log_change(
            "request.ended",
            request_id=request_id[:_MAX_FIELD_CHARS],
            outcome=outcome,
            reason=str(error)[:_MAX_REASON_CHARS] if error else "",
            status=progress.status,
            held_ms=round(now - received_ms),
            read_ms=round(progress.started_ms - received_ms),
            admitted_ms=round(progress.admitted_ms - received_ms) if progress.admitted_ms else None,
            may_have_run=progress.may_have_run,
            attempts=[attempt.log_fields() for attempt in progress.all_attempts],
            repeats=[decision.log_fields() for decision in progress.retry_decisions],
            folded=self._pop_folded(),
            **_context_fields(exchange, progress, received_ms),
        )

    def _exceeds_line_limit(self, now_ms: float) -> bool:
        second = int(now_ms // 1_000)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= self.max_lines_per_second:
            return False
        self._folded += 1
        return True

    def _pop_folded(self) -> int:
        folded, self._folded = self._folded, 0
        return folded


def _context_fields(
    exchange: Exchange | None, progress: Progress, received_ms: float
) -> dict[str, object]:
    """Return the log fields on the request and the configuration that applied to it."""
    if exchange is None:
        return {}
    first = progress.first_event_ms
    regions = progress.allowed_regions
    return {
        "route": exchange.route.name if exchange.route else "",
        "service": exchange.service.name if exchange.service else "",
        "account": exchange.account.name if exchange.account else "",
        "content": exchange.fingerprint,
        "segments": [
            segment.identity[:_MAX_SEGMENT_CHARS]
            for segment in exchange.shared_segments[:_MAX_SEGMENTS]
        ],
        "tokens": exchange.request.tokens.max_total if exchange.request.tokens else 0,
        "settled": progress.settled_tokens,
        "aim_ms": exchange.route.objective_ms if exchange.route else 0,
        "gap_aim_ms": exchange.route.max_gap_ms if exchange.route else 0,
        "allowed_regions": None if regions is None else sorted(regions),
        "version": exchange.configuration.version,
        "time_ms": round(exchange.waiter.deadline_ms - received_ms),
        "events": progress.events,
        "first_event_ms": round(first - received_ms) if first else None,
        "longest_gap_ms": round(progress.longest_gap_ms),
        "resumed_from": exchange.request.last_event_id[:_MAX_FIELD_CHARS],
        "resumes": exchange.request.resumes[:_MAX_FIELD_CHARS],
        "stream_version": None if progress.pin is None else progress.pin.version,
    }

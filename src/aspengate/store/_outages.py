"""Records outages of the store, and forecasts the next one from them."""

import threading
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.telemetry import log_change

# Shorter interruptions are lost answers and leader elections, for which no reserve is needed.
_MIN_OUTAGE_MS = 1_500.0
# A dead connection is detected after this time, so an outage began that much before it was noticed.
_DETECTION_MS = 3_000.0
# The assumed time between two outages until two have been seen: the time that the usual reserve
# lasts. Afterwards the shortest observed time is used if it is less.
_INITIAL_CALM_MS = 10_000.0


@dataclass(frozen=True)
class OutageForecast:
    """Describes the outage that token reserves must cover.

    ``length_ms`` is the length of the longest outage seen, 0 if there was none. ``readiness``, 0 to
    1, is the time since the last outage ended as a fraction of the shortest time between two.
    """

    length_ms: float = 0.0
    readiness: float = 1.0


class OutageHistory:
    """Records the outages of the store for the whole fleet since this router started."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms: float | None = None
        self._ended_ms: float | None = None
        self._longest_ms = 0.0
        self._shortest_calm_ms = _INITIAL_CALM_MS
        self._lock = threading.Lock()

    def record(self, *, answered: bool) -> None:
        """Record whether the store answers any router now; call this several times a second."""
        now = self._clock.monotonic_ms()
        with self._lock:
            if not answered and self._began_ms is None:
                self._began_ms = now
            elif answered and self._began_ms is not None:
                self._record_outage(self._began_ms, now)

    @property
    def forecast(self) -> OutageForecast:
        """The outage that reserves must currently cover."""
        now = self._clock.monotonic_ms()
        with self._lock:
            if self._ended_ms is None:
                return OutageForecast()
            passed = (now - self._ended_ms) / self._shortest_calm_ms
            return OutageForecast(self._longest_ms, min(1.0, passed))

    def _record_outage(self, began_ms: float, now: float) -> None:
        """Record an outage that ended at ``now``, in monotonic ms; the lock is held."""
        self._began_ms = None
        if now - began_ms < _MIN_OUTAGE_MS:
            return
        length_ms = now - began_ms + _DETECTION_MS
        if self._ended_ms is not None:
            calm_ms = max(_MIN_OUTAGE_MS, began_ms - self._ended_ms)
            self._shortest_calm_ms = min(self._shortest_calm_ms, calm_ms)
        self._ended_ms = now
        self._longest_ms = max(self._longest_ms, length_ms)
        log_change(
            "store.outage_ended",
            length_ms=round(length_ms),
            longest_ms=round(self._longest_ms),
            shortest_calm_ms=round(self._shortest_calm_ms),
        )

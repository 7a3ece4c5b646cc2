"""What was seen of the times in which the store answered no router."""

import threading
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.telemetry import log_change

# Shorter ones, in ms, are lost answers and changes of a leader, which nothing has to be kept for.
_LEAST_MS = 1_500.0
# A connection on which nothing comes any more is given up after so long, in ms: an outage is that
# much older when it is noticed.
_UNNOTICED_MS = 3_000.0
# How long the store is taken to answer after an outage before two were seen, in ms: as long as the
# usual reserve lasts. A choice; the shortest calm that is seen takes its place.
_FIRST_CALM_MS = 10_000.0


@dataclass(frozen=True)
class OutageForecast:
    """What is to be kept for another outage.

    ``length_ms`` is the longest one that was seen, 0 where none was. ``readiness``, 0 to 1, is the
    part of the shortest calm between two that has passed since the last one ended.
    """

    length_ms: float = 0.0
    readiness: float = 1.0


class OutageHistory:
    """Outages of the store for the whole fleet, as this router saw them in its life."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms: float | None = None
        self._ended_ms: float | None = None
        self._longest_ms = 0.0
        self._shortest_calm_ms = _FIRST_CALM_MS
        self._lock = threading.Lock()

    def record(self, *, answered: bool) -> None:
        """Note whether the store answers any router now; call it some times in a second."""
        now = self._clock.monotonic_ms()
        with self._lock:
            if not answered and self._began_ms is None:
                self._began_ms = now
            elif answered and self._began_ms is not None:
                self._end(self._began_ms, now)

    @property
    def forecast(self) -> OutageForecast:
        """What is to be kept for another outage."""
        now = self._clock.monotonic_ms()
        with self._lock:
            if self._ended_ms is None:
                return OutageForecast()
            passed = (now - self._ended_ms) / self._shortest_calm_ms
            return OutageForecast(self._longest_ms, min(1.0, passed))

    def _end(self, began_ms: float, now: float) -> None:
        self._began_ms = None
        if now - began_ms < _LEAST_MS:
            return
        length_ms = now - began_ms + _UNNOTICED_MS
        if self._ended_ms is not None:
            calm_ms = max(_LEAST_MS, began_ms - self._ended_ms)
            self._shortest_calm_ms = min(self._shortest_calm_ms, calm_ms)
        self._ended_ms = now
        self._longest_ms = max(self._longest_ms, length_ms)
        log_change(
            "store.outage_ended",
            length_ms=round(length_ms),
            longest_ms=round(self._longest_ms),
            shortest_calm_ms=round(self._shortest_calm_ms),
        )

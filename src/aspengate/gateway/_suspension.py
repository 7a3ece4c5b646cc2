"""Detects that the machine was suspended, so that stale watches of the store are ended."""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.telemetry import Counters, log_change

# Shorter suspensions are ignored: they are no longer than usual pauses of a process, and the two
# clocks are not read at the same moment.
_MIN_SUSPENSION_MS = 500.0


class SuspensionDetector:
    """Compares the clock that counts suspensions with the one that does not, at each ``poll``.

    Ages and deadlines use the former and need no correction. But a watch of the store may be
    waiting on a connection that was closed during the suspension, and until a keep-alive probe
    detects that, the gateway would treat its data as current. ``on_suspended`` is called to end
    such watches.
    """

    def __init__(self, clock: Clock, counters: Counters, on_suspended: Callable[[], None]) -> None:
        self._clock = clock
        self._counters = counters
        self._on_suspended = on_suspended
        self._last_total_ms = clock.suspended_ms()

    def poll(self) -> None:
        """Check whether the machine was suspended since the last call."""
        total_ms = self._clock.suspended_ms()
        suspended_ms, self._last_total_ms = total_ms - self._last_total_ms, total_ms
        if suspended_ms < _MIN_SUSPENSION_MS:
            return
        self._counters.count("clock.suspended_ms", round(suspended_ms))
        log_change("clock.suspended", suspended_ms=round(suspended_ms))
        self._on_suspended()

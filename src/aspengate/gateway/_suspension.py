"""Finds out that the machine was suspended, and has what is known be learnt anew."""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.telemetry import Counters, log_change

# Shorter ones are no longer than a usual pause of a process, in ms; the two clocks are not read at
# the same moment.
_LEAST_MS = 500.0


class SuspensionDetector:
    """Compares the clock that counts suspensions with the one that does not, at each ``look``.

    Ages and deadlines go by the first one and need nothing else. But a watch that waits for the
    store may wait on a connection that has ended meanwhile, and its router would take what it
    knows for current until a keep-alive shows that: ``on_suspended`` is called to end it.
    """

    def __init__(self, clock: Clock, counters: Counters, on_suspended: Callable[[], None]) -> None:
        self._clock = clock
        self._counters = counters
        self._on_suspended = on_suspended
        self._known_ms = clock.suspended_ms()

    def poll(self) -> None:
        """Look whether the machine was suspended since the last look."""
        total_ms = self._clock.suspended_ms()
        suspended_ms, self._known_ms = total_ms - self._known_ms, total_ms
        if suspended_ms < _LEAST_MS:
            return
        self._counters.count("clock.suspended_ms", round(suspended_ms))
        log_change("clock.suspended", suspended_ms=round(suspended_ms))
        self._on_suspended()

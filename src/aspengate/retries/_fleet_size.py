"""Tracks the number of routers that share a budget, as last reported to this one."""

from aspengate.clock import Clock, running_ms
from aspengate.telemetry import log_change


class FleetSize:
    """Keeps a history of the router count: routers that left may have used their shares."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_running_ms: float | None = None
        self._last_ms: float | None = None
        self._changes: tuple[tuple[float, int], ...] = ()

    def record(self, routers: int, retention_ms: float) -> None:
        """Record the current count; earlier counts are kept for ``retention_ms``."""
        now = self._clock.monotonic_ms()
        if self._first_running_ms is None:
            self._first_running_ms = running_ms(self._clock)
        self._last_ms = now
        if not self._changes or self._changes[-1][1] != routers:
            before = self._changes[-1][1] if self._changes else 0
            log_change("retry.routers", routers=routers, before=before)
            self._changes = (*self._changes, (now, routers))
        while len(self._changes) > 1 and self._changes[1][0] <= now - retention_ms:
            self._changes = self._changes[1:]

    def max_within(self, within_ms: float) -> int:
        """Return the highest count of the last ``within_ms``; 0 if none was recorded."""
        oldest_ms = self._clock.monotonic_ms() - within_ms
        highest = 0
        ended_ms = float("inf")
        for began_ms, routers in reversed(self._changes):
            if ended_ms <= oldest_ms:
                break
            highest = max(highest, routers)
            ended_ms = began_ms
        return highest

    def known_for_ms(self) -> float | None:
        """Return the time since the first count was recorded, in ms; None if there is none.

        It excludes suspensions of the machine: what an earlier process of this router sent may have
        been held up by them as well.
        """
        if self._first_running_ms is None:
            return None
        return running_ms(self._clock) - self._first_running_ms

    def age_ms(self) -> float | None:
        """Return the time since a count was last recorded, in ms; None if there is none."""
        return None if self._last_ms is None else self._clock.monotonic_ms() - self._last_ms

"""How many routers share a budget, as far as this one was told."""

from aspengate.clock import Clock
from aspengate.telemetry import log_change


class FleetSize:
    """Remembers how many routers there were: those that left have used what was theirs."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_ms: float | None = None
        self._last_ms: float | None = None
        self._changes: tuple[tuple[float, int], ...] = ()

    def note(self, routers: int, remembered_ms: float) -> None:
        """Take over a number; earlier ones are remembered for ``remembered_ms``."""
        now = self._clock.monotonic_ms()
        if self._first_ms is None:
            self._first_ms = now
        self._last_ms = now
        if not self._changes or self._changes[-1][1] != routers:
            before = self._changes[-1][1] if self._changes else 0
            log_change("retry.routers", routers=routers, before=before)
            self._changes = (*self._changes, (now, routers))
        while len(self._changes) > 1 and self._changes[1][0] <= now - remembered_ms:
            self._changes = self._changes[1:]

    def most(self, within_ms: float) -> int:
        """Return the greatest number that held within the last ``within_ms``; 0 if none did."""
        oldest = self._clock.monotonic_ms() - within_ms
        found = 0
        ended_ms = float("inf")
        for began_ms, routers in reversed(self._changes):
            if ended_ms <= oldest:
                break
            found = max(found, routers)
            ended_ms = began_ms
        return found

    def known_ms(self) -> float | None:
        """Return for how long any number was known, in ms; None if none is."""
        return None if self._first_ms is None else self._clock.monotonic_ms() - self._first_ms

    def told_ms(self) -> float | None:
        """Return how long ago a number was told last, in ms; None if none was."""
        return None if self._last_ms is None else self._clock.monotonic_ms() - self._last_ms

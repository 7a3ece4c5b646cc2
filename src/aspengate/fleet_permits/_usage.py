"""What one router has used of a bound's permits."""

import bisect
from dataclasses import dataclass, field

from aspengate.fleet_permits._bound import WindowBound

# What was used is kept for so long at least, in ms: a bound that becomes narrower has a longer
# window than the one that held before.
_KEPT_MS = 4_000.0


@dataclass
class Usage:
    """Permits that are taken, and the times in monotonic ms at which others were used, in order.

    ``window_ms`` is the longest window that was asked for; what was used within it is kept.
    ``last_ready_ms`` is from when the one that was taken last may be used.
    """

    acquired: int = 0
    used_ms: list[float] = field(default_factory=list)
    window_ms: float = _KEPT_MS
    last_ready_ms: float = float("-inf")

    def record_used(self, at_ms: float) -> None:
        """Count one that was taken as used at a time."""
        self.acquired -= 1
        bisect.insort(self.used_ms, at_ms)

    def discard_expired(self, now_ms: float) -> None:
        """Drop what counts in no window any more."""
        del self.used_ms[: bisect.bisect_left(self.used_ms, now_ms - self.window_ms)]

    def count_since(self, oldest_ms: float) -> int:
        """Return how many count that are taken, or were used since a time."""
        return self.acquired + len(self.used_ms) - bisect.bisect_left(self.used_ms, oldest_ms)

    def ready_ms(self, part: float, bound: WindowBound, now_ms: float) -> float | None:
        """Return when one more may be used where ``part`` count in any window at most.

        None where that is not known: it takes one of those that are taken.
        """
        first = bisect.bisect_left(self.used_ms, now_ms - bound.window_ms)
        beyond = self.count_since(now_ms - bound.window_ms) - part
        spaced_ms = max(now_ms, self.last_ready_ms + bound.spacing_ms)
        if beyond < 0:
            return spaced_ms
        if part <= 0 or first + beyond >= len(self.used_ms):
            return None
        return max(spaced_ms, self.used_ms[first + int(beyond)] + bound.window_ms)

    def record_acquired(self, ready_ms: float) -> None:
        """Take one that may be used from a time on."""
        self.acquired += 1
        self.last_ready_ms = ready_ms

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts any more."""
        return not (self.acquired or self.used_ms)

"""Tracks the permits that this router has acquired and used for one subject."""

import bisect
from dataclasses import dataclass, field

from aspengate.fleet_permits._bound import WindowBound

# The minimum retention of uses, in ms. A bound with a lower rate has a longer window than the one
# that it replaces, so uses have to outlive the window in which they were recorded.
_MIN_RETENTION_MS = 4_000.0


@dataclass
class Usage:
    """Counts the acquired permits, and keeps the times at which permits were used, in order.

    Times are in monotonic ms. ``window_ms`` is the longest window of any request so far; uses
    within it are kept. ``last_ready_ms`` is when the most recently acquired permit is ready.
    """

    acquired: int = 0
    used_ms: list[float] = field(default_factory=list)
    window_ms: float = _MIN_RETENTION_MS
    last_ready_ms: float = float("-inf")

    def record_used(self, at_ms: float) -> None:
        """Move one acquired permit to the used ones."""
        self.acquired -= 1
        bisect.insort(self.used_ms, at_ms)

    def discard_expired(self, now_ms: float) -> None:
        """Drop the uses that no longer count in any window."""
        del self.used_ms[: bisect.bisect_left(self.used_ms, now_ms - self.window_ms)]

    def count_since(self, oldest_ms: float) -> int:
        """Return the number of permits that are acquired or were used since ``oldest_ms``."""
        return self.acquired + len(self.used_ms) - bisect.bisect_left(self.used_ms, oldest_ms)

    def ready_ms(self, share: float, bound: WindowBound, now_ms: float) -> float | None:
        """Return when another permit is ready if at most ``share`` may count in any window.

        Returns None if that depends on an acquired permit, whose time of use is not yet known.
        """
        first = bisect.bisect_left(self.used_ms, now_ms - bound.window_ms)
        excess = self.count_since(now_ms - bound.window_ms) - share
        spaced_ms = max(now_ms, self.last_ready_ms + bound.spacing_ms)
        if excess < 0:
            return spaced_ms
        if share <= 0 or first + excess >= len(self.used_ms):
            return None
        return max(spaced_ms, self.used_ms[first + int(excess)] + bound.window_ms)

    def record_acquired(self, ready_ms: float) -> None:
        """Count another acquired permit, which is ready at ``ready_ms``."""
        self.acquired += 1
        self.last_ready_ms = ready_ms

    @property
    def is_empty(self) -> bool:
        """Whether no permit is acquired and no use is kept."""
        return not (self.acquired or self.used_ms)

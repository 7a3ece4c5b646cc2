"""The limit on the requests that a replica receives from all routers in any window."""

import math
from dataclasses import dataclass

# A window holds the target number of permits unless its length would be outside the limits below.
# A short window serves only a small burst of requests, a long one lets a large burst through at
# once. With at least two permits, one remains if the router that holds the other one dies.
_TARGET_PERMITS = 5
_MIN_PERMITS = 2
_MIN_WINDOW_MS = 1_000.0
_MAX_WINDOW_MS = 4_000.0
# The minimum distance of two requests of one router, as a fraction of the mean time between
# permits. Prompts that start together delay each other and the streams that run beside them.
_SPACING_RATIO = 0.5
# Keeps floating-point error in rate x time from adding a permit.
_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True)
class WindowBound:
    """Allows at most ``permits`` requests in any window of ``window_ms``.

    Requests of the same router are at least ``spacing_ms`` apart.
    """

    permits: int
    window_ms: float
    spacing_ms: float = 0.0

    @classmethod
    def from_rate(cls, per_second: float) -> "WindowBound":
        """Return the bound with an average rate of ``per_second`` requests per second.

        The window length is adjusted to a whole number of permits, also for rates below one request
        in 4 s. Rounding the permits in a window of fixed length would turn 1.1 requests per second
        into 1, and 0.2 into none.
        """
        target_ms = _TARGET_PERMITS * 1_000 / per_second
        window_ms = min(_MAX_WINDOW_MS, max(_MIN_WINDOW_MS, target_ms))
        permits = max(_MIN_PERMITS, math.ceil(per_second * window_ms / 1_000 - _ROUNDING_TOLERANCE))
        return cls(permits, permits * 1_000 / per_second, _SPACING_RATIO * 1_000 / per_second)

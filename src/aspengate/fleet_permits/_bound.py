"""How many requests a replica may get in any window, from all routers together."""

import math
from dataclasses import dataclass

# A window holds so many permits where that makes it neither shorter nor longer than the two times
# below, in ms: in a short one few requests that come together are served, in a long one many are
# sent at one moment. It holds two at least, so that one router's death leaves a permit.
_USUAL_PERMITS = 5
_LEAST_PERMITS = 2
_SHORTEST_MS = 1_000.0
_LONGEST_MS = 4_000.0
# Two requests of one router are this part of the mean time between permits apart: prompts that
# begin together hold each other up, and the streams that run beside them.
_SPACING = 0.5
# Rounding of a rate times a time must not add a permit.
_ROUNDING = 1e-9


@dataclass(frozen=True)
class WindowBound:
    """At most ``permits`` requests in any ``window_ms``.

    Those of one router are ``spacing_ms`` apart at least.
    """

    permits: int
    window_ms: float
    spacing_ms: float = 0.0

    @classmethod
    def from_rate(cls, per_second: float) -> "WindowBound":
        """Return the bound that allows so many requests a second in the long run.

        The window is a whole number of requests long, also for less than one in 4 s: rounded to
        whole permits in a fixed window, 1.1 requests a second would be 1 and 0.2 none.
        """
        usual_ms = _USUAL_PERMITS * 1_000 / per_second
        window_ms = min(_LONGEST_MS, max(_SHORTEST_MS, usual_ms))
        permits = max(_LEAST_PERMITS, math.ceil(per_second * window_ms / 1_000 - _ROUNDING))
        return cls(permits, permits * 1_000 / per_second, _SPACING * 1_000 / per_second)

"""Returns load gradually to a region whose requests were served elsewhere."""

import threading
from dataclasses import dataclass

# The weight of one request in the share of requests that were cheaper elsewhere: about five of them
# count. Above the threshold, the region counts as left.
_AWAY_WEIGHT = 0.2
_LEFT_SHARE = 0.8
# Time in ms over which the share that returns grows from 0 to 1. It lets replicas fill their
# caches, and the estimates of several routers notice a replica that is overloaded again.
_RETURN_MS = 5_000.0


@dataclass
class _Service:
    """The share of a service's requests that were cheaper elsewhere, and when that was most."""

    away: float = 0.0
    left_ms: float = float("-inf")


class RegionReturn:
    """Limits which share of a service's requests may return to this router's region.

    A region is left at once when its replicas are unavailable or cost more than others. Without a
    limit, all routers would return together as soon as one of its replicas costs less again.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._lock = threading.Lock()

    def record(self, service: str, now_ms: float, *, is_away: bool) -> float:
        """Record where a request is cheapest; return the share that may stay in the region."""
        with self._lock:
            state = self._services.setdefault(service, _Service())
            state.away += _AWAY_WEIGHT * (is_away - state.away)
            if is_away and state.away >= _LEFT_SHARE:
                state.left_ms = now_ms
            return min(1.0, max(0.0, now_ms - state.left_ms) / _RETURN_MS)

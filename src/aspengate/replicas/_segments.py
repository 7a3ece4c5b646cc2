"""Tracks which replicas probably hold which shared prompt segments in their caches."""

import threading
from collections import OrderedDict

_MAX_SEGMENTS = 4_096
_MAX_REPLICAS_PER_SEGMENT = 6


class SegmentTracker:
    """Tracks to which replicas each prompt segment was sent recently.

    Holds at most ``capacity`` segments and evicts the least recently used one.
    """

    def __init__(self, capacity: int = _MAX_SEGMENTS) -> None:
        self.capacity = capacity
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._lock = threading.Lock()

    def record_sent(self, segment: str, replica: str, now_ms: float) -> None:
        """Record that a prompt with ``segment`` was sent to a replica."""
        with self._lock:
            holders = self._holders.pop(segment, {})
            holders.pop(replica, None)
            holders[replica] = now_ms
            while len(holders) > _MAX_REPLICAS_PER_SEGMENT:
                holders.pop(next(iter(holders)))
            self._holders[segment] = holders
            while len(self._holders) > self.capacity:
                self._holders.popitem(last=False)

    def holders(self, segment: str) -> dict[str, float]:
        """Return the replicas to which ``segment`` was sent, with the latest time for each."""
        with self._lock:
            return dict(self._holders.get(segment, {}))

    def forget(self, replica: str) -> None:
        """Remove a replica from all segments."""
        with self._lock:
            for holders in self._holders.values():
                holders.pop(replica, None)

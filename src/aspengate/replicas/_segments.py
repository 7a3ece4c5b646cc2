"""Which replicas probably hold which shared parts of prompts."""

import threading
from collections import OrderedDict

_MOST_PARTS = 4_096
_REPLICAS_A_PART = 6


class SegmentTracker:
    """Remembers to which replicas this router sent each part lately.

    It holds at most ``capacity`` parts; the least recently used is forgotten first.
    """

    def __init__(self, capacity: int = _MOST_PARTS) -> None:
        self.capacity = capacity
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._lock = threading.Lock()

    def record_sent(self, part: str, replica: str, now_ms: float) -> None:
        """Remember that a replica was sent a prompt with ``part``."""
        with self._lock:
            holders = self._holders.pop(part, {})
            holders.pop(replica, None)
            holders[replica] = now_ms
            while len(holders) > _REPLICAS_A_PART:
                holders.pop(next(iter(holders)))
            self._holders[part] = holders
            while len(self._holders) > self.capacity:
                self._holders.popitem(last=False)

    def holders(self, part: str) -> dict[str, float]:
        """Return the replicas that were sent ``part``, with the time of the last one."""
        with self._lock:
            return dict(self._holders.get(part, {}))

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone, with all that it held."""
        with self._lock:
            for holders in self._holders.values():
                holders.pop(replica, None)

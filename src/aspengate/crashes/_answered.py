"""Remembers which prompt segments replicas have recently responded to."""

import threading
from collections import OrderedDict

from aspengate.clock import Clock


class AnsweredSegments:
    """Holds when a request with a prompt segment was last answered completely.

    Unlike the content of a request, most segments occur in many requests, and the shared first one
    of a route is lost with nearly every replica. While requests with a segment are answered, the
    segment does not crash replicas, however often it was there. Holds the latest ``max_entries``
    segments, by their fingerprints.
    """

    def __init__(self, clock: Clock, valid_ms: float, max_entries: int = 4_096) -> None:
        self._clock = clock
        self._valid_ms = valid_ms
        self._max_entries = max_entries
        self._answered_ms: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def record(self, fingerprint: str) -> None:
        """Record that a request with the segment was answered completely."""
        with self._lock:
            self._answered_ms[fingerprint] = self._clock.monotonic_ms()
            self._answered_ms.move_to_end(fingerprint)
            while len(self._answered_ms) > self._max_entries:
                self._answered_ms.popitem(last=False)

    def is_recent(self, fingerprint: str) -> bool:
        """Return whether the last complete answer is not older than ``valid_ms``."""
        answered_ms = self._answered_ms.get(fingerprint, float("-inf"))
        return self._clock.monotonic_ms() - answered_ms <= self._valid_ms

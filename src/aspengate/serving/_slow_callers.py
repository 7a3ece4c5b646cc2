"""Chooses the callers that give way when memory, threads or connections run short."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# A caller gives way to others only after this time, in ms, for one request or response.
SLOW_AFTER_MS = 1_000.0
# A search that found too little memory is not repeated within this time, in ms.
_SEARCH_INTERVAL_MS = 50.0


class SlowConnection(Protocol):
    """A connection that may wait for its caller.

    ``slow_since_ms`` is the monotonic time since which its caller has not sent all of a request, or
    not read all of a response; infinite if it waits for neither. ``slow_bytes`` is the memory that
    closing it releases.
    """

    @property
    def slow_since_ms(self) -> float:
        """See above."""

    @property
    def slow_bytes(self) -> int:
        """See above."""


Connection = TypeVar("Connection", bound=SlowConnection)


def slow_callers(connections: Iterable[Connection], now_ms: float) -> list[Connection]:
    """Return the connections whose callers are slow, the slowest first."""
    slow = [each for each in connections if now_ms - each.slow_since_ms >= SLOW_AFTER_MS]
    return sorted(slow, key=lambda each: each.slow_since_ms)


def slow_callers_holding(
    connections: Iterable[Connection], missing_bytes: int, now_ms: float
) -> list[Connection]:
    """Return the slowest callers that hold ``missing_bytes`` together; none if they hold less."""
    chosen = []
    for each in slow_callers(connections, now_ms):
        if missing_bytes <= 0:
            break
        if each.slow_bytes:
            chosen.append(each)
            missing_bytes -= each.slow_bytes
    return chosen if missing_bytes <= 0 else []


class MemorySearch:
    """Searches connections for slow callers that hold enough memory.

    After a search that found too little, no other one looks for as much or more for a while, so
    that many refused requests do not each go through all connections.
    """

    def __init__(self) -> None:
        self.failed_bytes = 0
        self.failed_ms = float("-inf")

    def find(
        self, connections: Iterable[Connection], missing_bytes: int, now_ms: float
    ) -> list[Connection]:
        """Return the slowest callers that hold ``missing_bytes`` together, none if there are none.

        ``now_ms`` is a monotonic time.
        """
        has_just_failed = now_ms < self.failed_ms + _SEARCH_INTERVAL_MS
        if has_just_failed and missing_bytes >= self.failed_bytes:
            return []
        found = slow_callers_holding(connections, missing_bytes, now_ms)
        if not found:
            self.failed_bytes, self.failed_ms = missing_bytes, now_ms
        return found

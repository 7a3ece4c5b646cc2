"""Counters, kept in the process and sent to a statsd server where one is set."""

import threading
from collections import Counter
from typing import Protocol

import statsd


class Counters(Protocol):
    """What the daemons count with."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration, in milliseconds, under ``name``."""


class NullCounters:
    """Counters kept in memory only; use them in tests and where no server is set."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        with self._lock:
            self.values[name] += amount

    def timing(self, name: str, duration_ms: float) -> None:
        """Count how many durations were recorded under ``name``."""
        self.count(name)


class StatsdCounters(NullCounters):
    """Counters that are also sent to a statsd server by UDP."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` here and at the server."""
        super().count(name, amount)
        self._client.incr(name, amount)

    def timing(self, name: str, duration_ms: float) -> None:
        """Send a duration, in milliseconds, to the server."""
        super().timing(name, duration_ms)
        self._client.timing(name, duration_ms)

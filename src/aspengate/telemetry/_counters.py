"""Counters, kept in memory and optionally sent to a statsd server."""

import threading
from collections import Counter
from typing import Protocol

import statsd


class Counters(Protocol):
    """The interface through which the daemons record counters and durations."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration, in milliseconds, under ``name``."""


class NullCounters:
    """Keeps counters in memory only, for tests and if no statsd server is configured."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        with self._lock:
            self.values[name] += amount

    def timing(self, name: str, duration_ms: float) -> None:
        """Count the durations recorded under ``name``; the durations are not kept."""
        self.count(name)


class StatsdCounters(NullCounters):
    """Keeps counters in memory and also sends them to a statsd server over UDP."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` in memory and at the server."""
        super().count(name, amount)
        self._client.incr(name, amount)

    def timing(self, name: str, duration_ms: float) -> None:
        """Count a duration in memory and send it, in milliseconds, to the server."""
        super().timing(name, duration_ms)
        self._client.timing(name, duration_ms)

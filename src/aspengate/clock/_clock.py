"""Clocks that every decision takes as a parameter."""

import threading
import time
from typing import Protocol

_MILLISECONDS_PER_SECOND = 1_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """A source of time in milliseconds.

    Pass one wherever a decision depends on time, so that a test can set the time.
    """

    def now_ms(self) -> int:
        """Return wall-clock time, in milliseconds since the Unix epoch."""

    def monotonic_ms(self) -> float:
        """Return time from an arbitrary origin that never goes back, in milliseconds."""

    def suspended_ms(self) -> float:
        """Return for how long the machine was suspended, from an arbitrary origin, in ms."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Wait for ``duration_ms`` milliseconds."""


class SystemClock:
    """The clock of the machine; use it in daemons.

    Its monotonic time counts the time for which the machine was suspended, which the steady clock
    of the system does not: other machines went on meanwhile, and what a daemon knows grew older.
    """

    def now_ms(self) -> int:
        """Return wall-clock time, in milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MILLISECOND

    def monotonic_ms(self) -> float:
        """Return the time since the machine's start, with suspensions, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * _MILLISECONDS_PER_SECOND

    def suspended_ms(self) -> float:
        """Return for how long the machine was suspended, from an arbitrary origin, in ms."""
        steady_s = time.clock_gettime(time.CLOCK_MONOTONIC)
        return (time.clock_gettime(time.CLOCK_BOOTTIME) - steady_s) * _MILLISECONDS_PER_SECOND

    def sleep_ms(self, duration_ms: float) -> None:
        """Wait for ``duration_ms`` milliseconds of real time."""
        time.sleep(max(0.0, duration_ms) / _MILLISECONDS_PER_SECOND)


class ManualClock:
    """A clock that moves only when it is told to; use it in tests and experiments."""

    def __init__(self, start_ms: int = 1_700_000_000_000) -> None:
        self.time_ms: float = start_ms
        self._lock = threading.Lock()

    def now_ms(self) -> int:
        """Return the set time, in milliseconds."""
        return int(self.time_ms)

    def monotonic_ms(self) -> float:
        """Return the set time, in milliseconds."""
        return self.time_ms

    def suspended_ms(self) -> float:
        """Return 0: this clock moves only when it is told to."""
        return 0.0

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock at once instead of waiting."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms`` milliseconds."""
        with self._lock:
            self.time_ms += duration_ms

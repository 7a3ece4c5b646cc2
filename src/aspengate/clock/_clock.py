"""The clock interface that time-dependent code takes as a parameter, with implementations."""

import threading
import time
from typing import Protocol

_MILLISECONDS_PER_SECOND = 1_000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """A source of time in milliseconds.

    Code that depends on time takes a clock as a parameter, so that a test can set the time.
    """

    def now_ms(self) -> int:
        """Return wall-clock time, in milliseconds since the Unix epoch."""

    def monotonic_ms(self) -> float:
        """Return monotonic time since an arbitrary origin, in milliseconds."""

    def suspended_ms(self) -> float:
        """Return the total time for which the machine was suspended, plus a constant, in ms."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for ``duration_ms`` milliseconds."""


def running_ms(clock: Clock) -> float:
    """Return the time for which the machine has been running, plus a constant, in ms.

    Unlike monotonic time, it excludes suspensions, in which the machine sends nothing.
    """
    return clock.monotonic_ms() - clock.suspended_ms()


class SystemClock:
    """The clock of the operating system, for use in daemons.

    Its monotonic time uses CLOCK_BOOTTIME because CLOCK_MONOTONIC excludes the time for which the
    machine was suspended. Other machines continue during that time, so leases and cached state of
    this process have aged by it.
    """

    def now_ms(self) -> int:
        """Return wall-clock time, in milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MILLISECOND

    def monotonic_ms(self) -> float:
        """Return the time since the machine booted, including suspensions, in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * _MILLISECONDS_PER_SECOND

    def suspended_ms(self) -> float:
        """Return the total time for which the machine was suspended, plus a constant, in ms."""
        running_s = time.clock_gettime(time.CLOCK_MONOTONIC)
        return (time.clock_gettime(time.CLOCK_BOOTTIME) - running_s) * _MILLISECONDS_PER_SECOND

    def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for ``duration_ms`` milliseconds."""
        time.sleep(max(0.0, duration_ms) / _MILLISECONDS_PER_SECOND)


class ManualClock:
    """A clock for tests and simulations that only moves by ``advance`` and ``sleep_ms``.

    ``advance`` may be called from several threads.
    """

    def __init__(self, start_ms: int = 1_700_000_000_000) -> None:
        self.time_ms: float = start_ms
        self._lock = threading.Lock()

    def now_ms(self) -> int:
        """Return the current time of this clock, in milliseconds."""
        return int(self.time_ms)

    def monotonic_ms(self) -> float:
        """Return the current time of this clock, in milliseconds."""
        return self.time_ms

    def suspended_ms(self) -> float:
        """Return 0: this clock is never suspended."""
        return 0.0

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock without sleeping."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Advance the clock by ``duration_ms`` milliseconds."""
        with self._lock:
            self.time_ms += duration_ms

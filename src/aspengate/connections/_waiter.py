"""Waits for a socket, no longer than allowed, and not at all for a caller that has gone."""

import select
import socket

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind

# The longest that a socket is waited for without a look at the clock, in ms: a wait does not count
# the time for which the machine is suspended, in which deadlines pass. One that passed during two
# minutes of it was noticed 60 s late, and is within 1 s (one silent socket, a clock that jumps).
_LONGEST_WAIT_MS = 1_000.0

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerGoneError(AspengateError):
    """The caller closed its connection."""

    def __init__(self) -> None:
        super().__init__(ErrorKind.CALLER_GONE, "the caller closed its connection")


class Waiter:
    """Waits on behalf of one request of one caller.

    ``caller`` is the caller's socket, which is only watched, never read. ``deadline_ms`` is in
    the clock's monotonic time; after it every wait raises DEADLINE_EXCEEDED.
    """

    def __init__(self, clock: Clock, caller: socket.socket | None, deadline_ms: float) -> None:
        self.clock = clock
        self.deadline_ms = deadline_ms
        self._caller = caller

    @property
    def remaining_ms(self) -> float:
        """How long is left, in milliseconds; negative once the deadline has passed."""
        return self.deadline_ms - self.clock.monotonic_ms()

    def wait_readable(self, waited: socket.socket, until_ms: float | None = None) -> bool:
        """Wait until a socket can be read; return False where ``until_ms`` comes first.

        Raises CallerGoneError, or AspengateError of kind DEADLINE_EXCEEDED.
        """
        return bool(self._wait(waited, select.POLLIN, until_ms))

    def wait_writable_or_readable(self, waited: socket.socket) -> tuple[bool, bool]:
        """Wait until a socket can be written or read; return which of the two it can be."""
        flags = self._wait(waited, select.POLLIN | select.POLLOUT, None)
        return bool(flags & select.POLLOUT), bool(flags & ~select.POLLOUT)

    def check_caller(self) -> None:
        """Raise CallerGoneError where the caller has gone by now."""
        if self._caller is None:
            return
        poller = select.poll()
        if not self._watch_caller(poller) or poller.poll(0):
            raise CallerGoneError

    def pause(self, until_ms: float) -> None:
        """Wait until a time, in the clock's monotonic milliseconds, while the caller stays."""
        poller = select.poll()
        if not self._watch_caller(poller):
            raise CallerGoneError
        remaining = min(until_ms, self.deadline_ms) - self.clock.monotonic_ms()
        if poller.poll(max(0.0, remaining)):
            raise CallerGoneError
        if until_ms > self.deadline_ms:
            raise _too_late()

    def _wait(self, waited: socket.socket, events: int, until_ms: float | None) -> int:
        descriptor = waited.fileno()
        if descriptor < 0:
            return select.POLLERR
        poller = select.poll()
        poller.register(descriptor, events)
        if not self._watch_caller(poller):
            raise CallerGoneError
        last_ms = self.deadline_ms if until_ms is None else min(until_ms, self.deadline_ms)
        found = self._poll(poller, last_ms)
        flags = found.pop(descriptor, 0)
        if found:
            raise CallerGoneError
        if not flags and self.remaining_ms <= 0:
            raise _too_late()
        return flags

    def _poll(self, poller: select.poll, last_ms: float) -> dict[int, int]:
        """Return the flags of the sockets that can be used, none where ``last_ms`` comes first."""
        while True:
            remaining = last_ms - self.clock.monotonic_ms()
            found = dict(poller.poll(max(0.0, min(remaining, _LONGEST_WAIT_MS))))
            if found or remaining <= _LONGEST_WAIT_MS:
                return found

    def _watch_caller(self, poller: select.poll) -> bool:
        if self._caller is None:
            return True
        descriptor = self._caller.fileno()
        if descriptor < 0:
            return False
        poller.register(descriptor, select.POLLRDHUP)
        return True


def _too_late() -> AspengateError:
    return AspengateError(ErrorKind.DEADLINE_EXCEEDED, "the time of the request is over")

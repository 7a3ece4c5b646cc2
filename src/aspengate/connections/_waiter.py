"""Waits on sockets until a deadline, unless the caller disconnects."""

import select
import socket
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind

# The longest wait without reading the clock. The timeout of a poll does not advance while the
# machine is suspended, but deadlines do: after a suspension of two minutes, an expired deadline was
# noticed 60 s late without this bound; with it the delay is at most 1 s.
_MAX_POLL_MS = 1_000.0

# For how long after the deadline data that is ready is still read. A response that arrived in time
# while the process was suspended is thus delivered; a peer that sends without end is cut off.
_LATE_READ_MS = 100.0

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class CallerGoneError(AspengateError):
    """Raised when the caller has closed its connection."""

    def __init__(self) -> None:
        super().__init__(ErrorKind.CALLER_GONE, "the caller closed its connection")


class Waiter:
    """Waits on sockets for one request.

    ``caller`` is the caller's socket, which is only watched, never read. ``deadline_ms`` is in
    the clock's monotonic time; after it every wait raises DEADLINE_EXCEEDED. ``latest_ms`` returns
    an earlier end of all waits, in the same time, which a planned stop of the process may set.
    """

    def __init__(
        self,
        clock: Clock,
        caller: socket.socket | None,
        deadline_ms: float,
        latest_ms: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self.clock = clock
        self.deadline_ms = deadline_ms
        self.latest_ms = latest_ms
        self._caller = caller
        self._late_since_ms: float | None = None

    @property
    def remaining_ms(self) -> float:
        """The time until the deadline, in milliseconds; negative after it."""
        return self.deadline_ms - self.clock.monotonic_ms()

    @property
    def _end_ms(self) -> float:
        return min(self.deadline_ms, self.latest_ms())

    @property
    def _is_over(self) -> bool:
        return self.clock.monotonic_ms() >= self._end_ms

    def wait_readable(self, waited: socket.socket, until_ms: float | None = None) -> bool:
        """Wait until a socket is readable; return False if ``until_ms`` passes first.

        Raises CallerGoneError, or AspengateError of kind DEADLINE_EXCEEDED, the latter soon after
        the deadline also if the socket is readable each time.
        """
        return bool(self._wait(waited, select.POLLIN, until_ms))

    def wait_writable_or_readable(self, waited: socket.socket) -> tuple[bool, bool]:
        """Wait until a socket is writable or readable; return ``(can_write, can_read)``."""
        flags = self._wait(waited, select.POLLIN | select.POLLOUT, None)
        return bool(flags & select.POLLOUT), bool(flags & ~select.POLLOUT)

    def check_deadline(self) -> None:
        """Raise DEADLINE_EXCEEDED if even data that is ready is too late."""
        if not self._is_over:
            return
        if self._late_since_ms is None:
            self._late_since_ms = self.clock.monotonic_ms()
        if self.clock.monotonic_ms() - self._late_since_ms > _LATE_READ_MS:
            raise _deadline_exceeded()

    def check_caller(self) -> None:
        """Raise CallerGoneError if the caller has disconnected."""
        if self._caller is None:
            return
        poller = select.poll()
        if not self._watch_caller(poller) or poller.poll(0):
            raise CallerGoneError

    def pause(self, until_ms: float) -> None:
        """Sleep until ``until_ms``, in the clock's monotonic time.

        Raises CallerGoneError, or AspengateError of kind DEADLINE_EXCEEDED.
        """
        poller = select.poll()
        if not self._watch_caller(poller):
            raise CallerGoneError
        end_ms = self._end_ms
        remaining = min(until_ms, end_ms) - self.clock.monotonic_ms()
        if poller.poll(max(0.0, remaining)):
            raise CallerGoneError
        if until_ms > end_ms:
            raise _deadline_exceeded()

    def _wait(self, waited: socket.socket, events: int, until_ms: float | None) -> int:
        descriptor = waited.fileno()
        if descriptor < 0:
            return select.POLLERR
        poller = select.poll()
        poller.register(descriptor, events)
        if not self._watch_caller(poller):
            raise CallerGoneError
        ready = self._poll(poller, float("inf") if until_ms is None else until_ms)
        flags = ready.pop(descriptor, 0)
        if ready:
            raise CallerGoneError
        if not flags and self._is_over:
            raise _deadline_exceeded()
        self.check_deadline()
        return flags

    def _poll(self, poller: select.poll, until_ms: float) -> dict[int, int]:
        """Return the poll flags of ready sockets by descriptor; empty if the time passes."""
        while True:
            remaining = min(until_ms, self._end_ms) - self.clock.monotonic_ms()
            ready = dict(poller.poll(max(0.0, min(remaining, _MAX_POLL_MS))))
            if ready or remaining <= _MAX_POLL_MS:
                return ready

    def _watch_caller(self, poller: select.poll) -> bool:
        if self._caller is None:
            return True
        descriptor = self._caller.fileno()
        if descriptor < 0:
            return False
        poller.register(descriptor, select.POLLRDHUP)
        return True


def _deadline_exceeded() -> AspengateError:
    return AspengateError(ErrorKind.DEADLINE_EXCEEDED, "the time of the request is over")

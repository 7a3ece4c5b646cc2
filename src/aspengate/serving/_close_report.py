"""What is known of a caller's connection when the server closes it."""

import socket
from dataclasses import dataclass
from enum import StrEnum


class CloseReason(StrEnum):
    """Why the server closes a connection, other than at the end of a response.

    ``MEMORY`` and ``THREADS`` say that its caller is slow, and that others need what it holds.
    """

    LEAVING = "leaving"
    SURPLUS = "surplus"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"
    MEMORY = "memory"
    THREADS = "threads"


@dataclass(frozen=True)
class ConnectionReport:
    """The state of a connection at its close.

    ``requests`` is the number of requests that were read and have no complete response,
    ``is_unread`` is whether bytes of the caller have arrived that were not read, and ``idle_ms``
    the time since the last activity.
    """

    reason: CloseReason
    caller: str
    requests: int
    is_unread: bool
    idle_ms: float

    @property
    def is_lossy(self) -> bool:
        """Whether the caller may have sent a request that gets no response."""
        return bool(self.requests) or self.is_unread


def has_unread_data(connected: socket.socket | None) -> bool:
    """Return whether data has arrived on a non-blocking socket that was not read.

    False if the connection is closed, in which case waitress has no socket any more.
    """
    if connected is None:
        return False
    try:
        return bool(connected.recv(1, socket.MSG_PEEK))
    except OSError:
        return False

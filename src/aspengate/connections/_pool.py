"""A pool of idle connections to replicas."""

import threading

from aspengate.clock import Clock
from aspengate.connections._connection import ReplicaConnection

_CONNECT_TIMEOUT_MS = 1_000.0
_MAX_IDLE = 32
# The pool closes a connection before the replica's announced idle timeout does.
_KEEP_ALIVE_FRACTION = 0.6


class ConnectionPool:
    """Keeps idle connections for reuse, by the incarnation of the replica that they lead to.

    Neither the address nor the replica id is a sufficient key: an address may pass to another
    replica, and a replica may restart under its id. Connections that were idle for longer than
    ``max_idle_ms`` are closed. ``opened`` counts the connections opened so far. Thread-safe.
    """

    def __init__(self, clock: Clock, max_idle_ms: float) -> None:
        self.clock = clock
        self.max_idle_ms = max_idle_ms
        self.opened = 0
        self._idle: dict[str, list[ReplicaConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, incarnation: str) -> ReplicaConnection | None:
        """Return an idle connection that is still usable, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(incarnation)
                if not idle:
                    return None
                connection = idle.pop()
            now = self.clock.monotonic_ms()
            idle_ms = now - connection.last_used_ms
            usable = idle_ms <= self.max_idle_ms and now < connection.idle_until_ms
            if usable and connection.is_idle():
                return connection
            connection.close()

    def open(self, address: str, timeout_ms: float) -> ReplicaConnection:
        """Open a new connection; raises NO_UPSTREAM."""
        self.opened += 1
        return ReplicaConnection(address, self.clock, min(timeout_ms, _CONNECT_TIMEOUT_MS))

    def release(
        self, incarnation: str, connection: ReplicaConnection, keep_alive_ms: float | None
    ) -> None:
        """Return a connection after a complete response; it is closed if it can't be reused.

        ``keep_alive_ms`` is the idle timeout that the replica announced, if any.
        """
        if connection.prepare_next_request():
            if keep_alive_ms is not None:
                connection.idle_until_ms = (
                    self.clock.monotonic_ms() + keep_alive_ms * _KEEP_ALIVE_FRACTION
                )
            with self._lock:
                idle = self._idle.setdefault(incarnation, [])
                if len(idle) < _MAX_IDLE:
                    idle.append(connection)
                    return
        connection.close()

    def discard(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation of a replica that has terminated."""
        with self._lock:
            idle = self._idle.pop(incarnation, [])
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in list(self._idle):
            self.discard(incarnation)

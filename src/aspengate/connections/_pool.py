"""Idle connections to replicas, kept for further requests."""

import threading

from aspengate.clock import Clock
from aspengate.connections._connection import ReplicaConnection

_CONNECT_TIMEOUT_MS = 1_000.0
_MAX_IDLE = 32
_KEEP_ALIVE_FRACTION = 0.6


class ConnectionPool:
    """Idle connections by the start of a replica that they lead to.

    An address may pass to another replica, and a replica may start again under its id, so that a
    connection belongs to neither. One that
    rested longer than ``max_idle_ms`` is not used again.
    """

    def __init__(self, clock: Clock, max_idle_ms: float) -> None:
        self.clock = clock
        self.max_idle_ms = max_idle_ms
        self.opened = 0
        self._idle: dict[str, list[ReplicaConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, incarnation: str) -> ReplicaConnection | None:
        """Return an idle connection that seems sound, if there is one."""
        while True:
            with self._lock:
                idle = self._idle.get(incarnation)
                if not idle:
                    return None
                connection = idle.pop()
            now = self.clock.monotonic_ms()
            rested = now - connection.last_used_ms
            usable = rested <= self.max_idle_ms and now < connection.idle_until_ms
            if usable and connection.is_idle():
                return connection
            connection.close()

    def open(self, address: str, timeout_ms: float) -> ReplicaConnection:
        """Open a connection; raises NO_UPSTREAM."""
        self.opened += 1
        return ReplicaConnection(address, self.clock, min(timeout_ms, _CONNECT_TIMEOUT_MS))

    def release(
        self, incarnation: str, connection: ReplicaConnection, keep_alive_ms: float | None
    ) -> None:
        """Keep a connection whose answer was whole, or close it where it can't go on.

        ``keep_alive_ms`` is how long the replica lets it rest, where the replica says so.
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
        """Close the idle connections of a replica that is gone."""
        with self._lock:
            idle = self._idle.pop(incarnation, [])
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in list(self._idle):
            self.discard(incarnation)

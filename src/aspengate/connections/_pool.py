"""Idle connections to replicas, kept for further requests."""

import threading

from aspengate.clock import Clock
from aspengate.connections._connection import ReplicaConnection

_CONNECT_TIMEOUT_MS = 1_000.0
_MOST_IDLE = 32
_REST_PART = 0.6


class ConnectionPool:
    """Idle connections by the start of a replica that they lead to.

    An address may pass to another replica, and a replica may start again under its id, so that a
    connection belongs to neither. One that
    rested longer than ``longest_rest_ms`` is not used again.
    """

    def __init__(self, clock: Clock, longest_rest_ms: float) -> None:
        self.clock = clock
        self.longest_rest_ms = longest_rest_ms
        self.opened = 0
        self._idle: dict[str, list[ReplicaConnection]] = {}
        self._lock = threading.Lock()

    def take(self, start: str) -> ReplicaConnection | None:
        """Return an idle connection that seems sound, if there is one."""
        while True:
            with self._lock:
                idle = self._idle.get(start)
                if not idle:
                    return None
                connection = idle.pop()
            now = self.clock.monotonic_ms()
            rested = now - connection.used_ms
            usable = rested <= self.longest_rest_ms and now < connection.idle_until_ms
            if usable and connection.is_quiet():
                return connection
            connection.close()

    def open(self, address: str, timeout_ms: float) -> ReplicaConnection:
        """Open a connection; raises NO_UPSTREAM."""
        self.opened += 1
        return ReplicaConnection(address, self.clock, min(timeout_ms, _CONNECT_TIMEOUT_MS))

    def give_back(self, start: str, connection: ReplicaConnection, rest_ms: float | None) -> None:
        """Keep a connection whose answer was whole, or close it where it can't go on.

        ``rest_ms`` is how long the replica lets it rest, where the replica says so.
        """
        if connection.make_ready():
            if rest_ms is not None:
                connection.idle_until_ms = self.clock.monotonic_ms() + rest_ms * _REST_PART
            with self._lock:
                idle = self._idle.setdefault(start, [])
                if len(idle) < _MOST_IDLE:
                    idle.append(connection)
                    return
        connection.close()

    def forget(self, start: str) -> None:
        """Close the idle connections of a replica that is gone."""
        with self._lock:
            idle = self._idle.pop(start, [])
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for start in list(self._idle):
            self.forget(start)

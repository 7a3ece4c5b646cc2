"""A pool of idle connections to replicas."""

import threading

from aspengate.clock import Clock
from aspengate.connections._connect_times import ConnectTimes
from aspengate.connections._connection import ReplicaConnection

_CONNECT_TIMEOUT_MS = 1_000.0
_MAX_IDLE = 32
# Limit on idle connections that are kept for longer than ``max_idle_ms``, to one replica that
# names no maximum. The others are left over from a burst.
_MAX_LONG_IDLE = 4
# The part of a replica's maximum that all routers together may use for these connections; the
# rest is left to connections in use.
_LONG_IDLE_FRACTION = 0.5
# The pool closes a connection before the replica does so at its announced idle timeout: by 2 s,
# within which a request that is on its way arrives or fails, or after 0.6 of a short timeout.
_KEEP_ALIVE_MARGIN_MS = 2_000.0
_KEEP_ALIVE_FRACTION = 0.6
# An announced timeout beyond this saves hardly any connections, but each one idle costs 1 to 2 KB
# of memory and a keepalive probe per second.
_MAX_LONG_IDLE_MS = 300_000.0


class ConnectionPool:
    """Keeps idle connections for reuse, by the incarnation of the replica that they lead to.

    Neither the address nor the replica id is a sufficient key: an address may pass to another
    replica, and a replica may restart under its id.

    Connections are kept for ``max_idle_ms``. If the replica announces an idle timeout, that applies
    instead; if it is longer, it applies only to the few most recently used connections, so that
    all routers together keep at most half of the replica's maximum. ``max_idle`` is the maximum of
    idle connections in total, ``routers`` the number of routers, 0 if it is unknown, and ``opened``
    counts the connections opened so far. Thread-safe.
    """

    def __init__(self, clock: Clock, max_idle_ms: float, max_idle: int) -> None:
        self.clock = clock
        self.max_idle_ms = max_idle_ms
        self.max_idle = max_idle
        self.routers = 0
        self.opened = 0
        self.connect_times = ConnectTimes()
        # The connections of each incarnation, the most recently used one last.
        self._idle: dict[str, list[ReplicaConnection]] = {}
        self._max_connections: dict[str, int] = {}
        self._lock = threading.Lock()

    @property
    def idle(self) -> int:
        """The number of idle connections."""
        with self._lock:
            return self._count_idle()

    def acquire(self, incarnation: str) -> ReplicaConnection | None:
        """Return an idle connection that is still usable, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(incarnation)
                if not idle:
                    return None
                usable = self._is_usable(incarnation, idle[-1], newer=0)
                connection = idle.pop()
            if usable and connection.is_idle():
                return connection
            connection.close()

    def has_idle(self, incarnation: str) -> bool:
        """Return whether ``acquire`` would probably return a connection."""
        with self._lock:
            idle = self._idle.get(incarnation, [])
            return bool(idle) and self._is_usable(incarnation, idle[-1], newer=0)

    def open(self, address: str, timeout_ms: float) -> ReplicaConnection:
        """Open a new connection; raises NO_UPSTREAM."""
        self.opened += 1
        begun_ms = self.clock.monotonic_ms()
        connection = ReplicaConnection(address, self.clock, min(timeout_ms, _CONNECT_TIMEOUT_MS))
        self.connect_times.record(address, self.clock.monotonic_ms() - begun_ms)
        return connection

    def release(
        self,
        incarnation: str,
        connection: ReplicaConnection,
        keep_alive_ms: float | None,
        max_connections: int = 0,
    ) -> None:
        """Return a connection after a complete response; it is closed if it can't be reused.

        ``keep_alive_ms`` is the idle timeout that the replica announced, if any, and
        ``max_connections`` how many connections it accepts from all routers, 0 if unknown.
        """
        if not connection.prepare_next_request():
            connection.close()
            return
        now = self.clock.monotonic_ms()
        if keep_alive_ms is None:
            connection.idle_until_ms = now + self.max_idle_ms
        else:
            kept_ms = max(
                keep_alive_ms * _KEEP_ALIVE_FRACTION, keep_alive_ms - _KEEP_ALIVE_MARGIN_MS
            )
            connection.idle_until_ms = now + min(kept_ms, _MAX_LONG_IDLE_MS)
        with self._lock:
            self._max_connections[incarnation] = max_connections
            self._idle.setdefault(incarnation, []).append(connection)
            surplus = self._remove_surplus(incarnation)
        for each in surplus:
            each.close()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        with self._lock:
            expired = [
                connection
                for incarnation in list(self._idle)
                for connection in self._remove_expired(incarnation)
            ]
        for connection in expired:
            connection.close()

    def discard(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation of a replica that has terminated."""
        with self._lock:
            idle = self._idle.pop(incarnation, [])
            self._max_connections.pop(incarnation, None)
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in list(self._idle):
            self.discard(incarnation)

    def _is_usable(self, incarnation: str, connection: ReplicaConnection, *, newer: int) -> bool:
        """Return whether to keep a connection; ``newer`` ones there were used more recently."""
        now = self.clock.monotonic_ms()
        if now >= connection.idle_until_ms:
            return False
        is_recent = now - connection.last_used_ms <= self.max_idle_ms
        return is_recent or newer < self._max_long_idle(incarnation)

    def _max_long_idle(self, incarnation: str) -> int:
        """Return how many connections to a replica may be idle for longer than ``max_idle_ms``."""
        max_connections = self._max_connections.get(incarnation, 0)
        if not max_connections:
            return _MAX_LONG_IDLE
        share = int(_LONG_IDLE_FRACTION * max_connections / self.routers) if self.routers else 0
        return min(_MAX_LONG_IDLE, share)

    def _remove_expired(self, incarnation: str) -> list[ReplicaConnection]:
        idle = self._idle[incarnation]
        kept = [
            connection
            for index, connection in enumerate(idle)
            if self._is_usable(incarnation, connection, newer=len(idle) - 1 - index)
        ]
        expired = [connection for connection in idle if connection not in kept]
        self._idle[incarnation] = kept
        if not kept:
            del self._idle[incarnation]
            self._max_connections.pop(incarnation, None)
        return expired

    def _remove_surplus(self, incarnation: str) -> list[ReplicaConnection]:
        """Remove the least recently used connections beyond the limits and return them."""
        surplus = []
        if len(self._idle[incarnation]) > _MAX_IDLE:
            surplus.append(self._idle[incarnation].pop(0))
        while self._count_idle() > self.max_idle:
            oldest = min(
                (idle for idle in self._idle.values() if idle),
                key=lambda idle: idle[0].last_used_ms,
            )
            surplus.append(oldest.pop(0))
        return surplus

    def _count_idle(self) -> int:
        return sum(len(idle) for idle in self._idle.values())

"""A pool of HTTP connections to the store."""

import contextlib
import socket
import threading

from aspengate.connections import StrictHTTPConnection, detect_dead_peer
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._unanswered import UnansweredCallCounter

# A connection is established within a round trip of a few ms, unless the SYN packet is lost. The
# kernel resends a lost SYN only after 1 s, so opening a new connection is faster.
_CONNECT_TIMEOUT_S = 0.5
_MAX_IDLE_CONNECTIONS = 4


class StoreConnections:
    """Pools keep-alive connections to ``address`` for ordinary calls and for long-poll watches.

    All methods are thread-safe.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[StrictHTTPConnection] = []
        self._unanswered = UnansweredCallCounter()
        self._watches: set[StrictHTTPConnection] = set()
        self._lock = threading.Lock()

    def acquire(self, *, is_watch: bool) -> StrictHTTPConnection:
        """Return a connection for one call.

        Raises AspengateError of kind STORE_UNAVAILABLE if none can be established.
        """
        with self._lock:
            idle = self._idle.pop() if self._idle else None
        connection = idle or self._open()
        if is_watch:
            with self._lock:
                self._watches.add(connection)
        return connection

    def release(self, connection: StrictHTTPConnection) -> None:
        """Return an answered call's connection to the pool, or close it if the pool is full."""
        with self._lock:
            self._unanswered.record_answer()
            self._watches.discard(connection)
            if connection.sock is not None and len(self._idle) < _MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def discard(self, connection: StrictHTTPConnection, *, is_watch: bool) -> None:
        """Close the connection of a failed call and all idle connections.

        The idle ones have probably failed for the same reason.
        """
        connection.close()
        with self._lock:
            self._watches.discard(connection)
            idle, self._idle = self._idle, []
        for each in idle:
            each.close()
        if not is_watch:
            self._record_unanswered()

    def abort_watches(self) -> None:
        """Shut down the connections of waiting watches; the watches fail and callers retry them."""
        with self._lock:
            watches, self._watches = self._watches, set()
        for sock in [connection.sock for connection in watches]:
            # The socket is None if the watch has just ended on its own.
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def idle_sockets(self) -> list[socket.socket]:
        """Return the sockets of the idle connections."""
        with self._lock:
            return [connection.sock for connection in self._idle]

    def _open(self) -> StrictHTTPConnection:
        connection = StrictHTTPConnection(self.address, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
            detect_dead_peer(connection.sock)
        except OSError as error:
            connection.close()
            self._record_unanswered()
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, repr(error), where=self.address
            ) from error
        return connection

    def _record_unanswered(self) -> None:
        """Count an unanswered call, and abort the watches if their connections are in doubt."""
        with self._lock:
            if not self._unanswered.record_unanswered():
                return
        self.abort_watches()

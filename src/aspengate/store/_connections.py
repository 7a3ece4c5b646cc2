"""HTTP connections to a store, which are kept for more calls."""

import contextlib
import http.client
import socket
import threading

from aspengate.connections import detect_silence
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._unanswered import UnansweredCallCounter

# A connection comes up within a round trip of a few ms, or after the opening packet was lost; a
# new one is then tried sooner than the system sends it again after 1 s.
_CONNECT_TIMEOUT_S = 0.5
_IDLE_CONNECTIONS = 4


class StoreConnections:
    """Connections to ``address``, for calls that are answered at once and for watches that wait.

    It may be called from any thread.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._idle: list[http.client.HTTPConnection] = []
        self._silence = UnansweredCallCounter()
        self._watches: set[http.client.HTTPConnection] = set()
        self._lock = threading.Lock()

    def acquire(self, *, is_watch: bool) -> http.client.HTTPConnection:
        """Return a connection for one call; raises STORE_UNAVAILABLE where none comes up."""
        with self._lock:
            idle = self._idle.pop() if self._idle else None
        connection = idle or self._open()
        if is_watch:
            with self._lock:
                self._watches.add(connection)
        return connection

    def release(self, connection: http.client.HTTPConnection) -> None:
        """Keep the connection of a call that was answered for another one."""
        with self._lock:
            self._silence.record_answer()
            self._watches.discard(connection)
            if connection.sock is not None and len(self._idle) < _IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()

    def discard(self, connection: http.client.HTTPConnection, *, is_watch: bool) -> None:
        """Close the connection of a failed call, and those that probably failed along with it."""
        connection.close()
        with self._lock:
            self._watches.discard(connection)
            idle, self._idle = self._idle, []
        for each in idle:
            each.close()
        if not is_watch:
            self._note_unanswered()

    def abort_watches(self) -> None:
        """Have the watches that wait fail, so that they are made anew."""
        with self._lock:
            watches, self._watches = self._watches, set()
        for sock in [connection.sock for connection in watches]:
            # A watch that has just ended by itself has no socket any more.
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def idle_sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections that wait for a call."""
        with self._lock:
            return [connection.sock for connection in self._idle]

    def _open(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(self.address, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
            detect_silence(connection.sock)
        except OSError as error:
            connection.close()
            self._note_unanswered()
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, repr(error), where=self.address
            ) from error
        return connection

    def _note_unanswered(self) -> None:
        """Note a call without an answer, and end the watches that wait where these are in doubt."""
        with self._lock:
            if not self._silence.record_unanswered():
                return
        self.abort_watches()

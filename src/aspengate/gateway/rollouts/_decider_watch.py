"""Detects that the process of a deciding router has ended, earlier than by its silence."""

import errno
import selectors
import socket
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.peers import Member
from aspengate.telemetry import Counters, supervised_thread

# Time between two looks at which routers decide, and between connections to the same one, in ms.
_INTERVAL_MS = 100.0
# A connection that is not established after this time, in ms, is opened anew.
_CONNECT_TIMEOUT_MS = 1_000.0


@dataclass
class _Link:
    """A connection to a deciding router; ``connection`` is None while there is none."""

    member: Member
    connection: socket.socket | None = None
    is_established: bool = False
    opened_ms: float = float("-inf")


class DeciderWatch:
    """Keeps an idle connection to each router that decides on a running rollout.

    The operating system closes the connections of a process that ends. If a connection is closed
    and its router's port then refuses another one, that process has ended, and ``on_ended`` is
    called. A router that is frozen, or cut off from this one, is only found by its silence.

    ``deciders`` returns the routers to watch, None while no rollout is running.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        *,
        deciders: Callable[[], Iterable[Member] | None],
        on_ended: Callable[[Member], None],
    ) -> None:
        self._clock = clock
        self._deciders = deciders
        self._on_ended = on_ended
        self._links: dict[str, _Link] = {}
        self._selector = selectors.DefaultSelector()
        self._wakeup = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "rollout-watch", counters)

    def start(self) -> None:
        """Start to watch."""
        self._thread.start()

    def close(self) -> None:
        """Stop watching."""
        self._closing.set()
        self._wakeup.set()

    def wake(self) -> None:
        """Check whether there are routers to watch."""
        self._wakeup.set()

    def _run(self) -> None:
        while not self._closing.is_set():
            self._wakeup.clear()
            deciders = self._deciders()
            self._update(deciders or ())
            if self._selector.get_map():
                for key, _ in self._selector.select(_INTERVAL_MS / 1_000):
                    self._handle(key.data)
            else:
                self._wakeup.wait(None if deciders is None else _INTERVAL_MS / 1_000)
        self._update(())
        self._selector.close()

    def _update(self, deciders: Iterable[Member]) -> None:
        """Watch these routers and no others."""
        watched = {member.session: member for member in deciders}
        for session in self._links.keys() - watched.keys():
            self._disconnect(self._links.pop(session))
        now = self._clock.monotonic_ms()
        for session, member in watched.items():
            link = self._links.setdefault(session, _Link(member))
            age_ms = now - link.opened_ms
            if not link.is_established and age_ms > _CONNECT_TIMEOUT_MS:
                self._disconnect(link)
            if link.connection is None and age_ms >= _INTERVAL_MS:
                self._connect(link, now)

    def _connect(self, link: _Link, now_ms: float) -> None:
        """Begin to open a connection."""
        host, _, port = link.member.address.rpartition(":")
        link.connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        link.connection.setblocking(False)
        link.opened_ms = now_ms
        self._selector.register(link.connection, selectors.EVENT_WRITE, link)
        if link.connection.connect_ex((host, int(port))) == errno.ECONNREFUSED:
            self._handle_refused(link)

    def _disconnect(self, link: _Link) -> None:
        if link.connection is not None:
            self._selector.unregister(link.connection)
            link.connection.close()
        link.connection, link.is_established = None, False

    def _handle(self, link: _Link) -> None:
        """Handle that a connection has been opened, refused or closed."""
        if link.connection is None:
            return
        error = _error_of(link.connection)
        if error is None and not link.is_established:
            link.is_established = True
            self._selector.modify(link.connection, selectors.EVENT_READ, link)
            return
        if not link.is_established and isinstance(error, ConnectionRefusedError):
            self._handle_refused(link)
        else:
            self._disconnect(link)

    def _handle_refused(self, link: _Link) -> None:
        self._disconnect(link)
        self._on_ended(link.member)
        self._wakeup.set()


def _error_of(connection: socket.socket) -> OSError | None:
    """Return why a connection that is ready is not usable, None if it is."""
    code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        return OSError(code, "")
    try:
        received = connection.recv(1)
    except BlockingIOError:
        return None
    except OSError as error:
        return error
    return None if received else ConnectionResetError()

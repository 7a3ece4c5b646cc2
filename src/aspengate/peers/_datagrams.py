"""A UDP socket for small messages between routers, which may be lost."""

import contextlib
import socket
import threading
from collections import Counter
from collections.abc import Callable

import msgspec

from aspengate.peers._messages import Datagram
from aspengate.store import DECODE_ERRORS
from aspengate.telemetry import Counters, log_change, supervised_thread
from aspengate.topology import Distance

_MAX_DATAGRAM_BYTES = 64 * 1024
_RECEIVE_RETRY_S = 0.1
# Limits on what is logged of unreadable messages: characters of a text, and kinds of messages.
# Without them, any sender could fill the log.
_MAX_LOGGED_CHARS = 200
_MAX_LOGGED_KINDS = 32

OnDatagram = Callable[[Datagram, str], None]


class DatagramPort:
    """Sends and receives datagrams at ``address``.

    ``on_datagram`` is called with each message and its sender's address, on the port's receiving
    thread. An exception that it raises is counted and logged. ``distance`` returns how far an
    address is, and None if messages are not to be counted by distance.
    """

    def __init__(
        self,
        address: str,
        counters: Counters,
        on_datagram: OnDatagram,
        distance: Callable[[str], Distance | None] = lambda _: None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._counters = counters
        self._on_datagram = on_datagram
        self._distance = distance
        self._logged_kinds: set[str] = set()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "datagrams", counters)

    def start(self) -> None:
        """Start to receive messages."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._closing.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def send(self, message: Datagram, *addresses: str) -> None:
        """Send a message to each address, without confirmation; socket errors are ignored."""
        data = msgspec.msgpack.encode(message)
        kind = str(type(message).__struct_config__.tag)
        self._counters.count(f"datagrams.sent.{kind}", len(addresses))
        self._counters.count(f"datagrams.sent_bytes.{kind}", len(addresses) * len(data))
        for distance, count in Counter(map(self._distance, addresses)).items():
            if distance is not None:
                where = f"{distance.value}.{kind}"
                self._counters.count(f"datagrams.sent_to.{where}", count)
                self._counters.count(f"datagrams.sent_bytes_to.{where}", count * len(data))
        for address in addresses:
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError):
                self._socket.sendto(data, (host, int(port)))

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                data, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError:
                sender = None
            if sender is None:
                self._closing.wait(_RECEIVE_RETRY_S)
                continue
            try:
                message = msgspec.msgpack.decode(data, type=Datagram)
            except DECODE_ERRORS as error:
                self._log_unreadable(data, f"{sender[0]}:{sender[1]}", error)
                continue
            self._dispatch(message, f"{sender[0]}:{sender[1]}")

    def _log_unreadable(self, data: bytes, sender: str, error: Exception) -> None:
        """Count an unreadable message, and log the first one of each kind.

        Only the first, because a router of a newer build may send many messages per second of a
        kind that this build does not have.
        """
        self._counters.count("datagrams.unreadable")
        kind = _kind_of(data)
        if kind in self._logged_kinds or len(self._logged_kinds) >= _MAX_LOGGED_KINDS:
            return
        self._logged_kinds.add(kind)
        message = str(error)[:_MAX_LOGGED_CHARS]
        log_change("datagram.unreadable", kind=kind, sender=sender, error=message)

    def _dispatch(self, message: Datagram, sender: str) -> None:
        try:
            self._on_datagram(message, sender)
        except Exception as error:
            self._counters.count("datagrams.failed")
            log_change("datagram.failed", sender=sender, error=repr(error))


def _kind_of(data: bytes) -> str:
    """Return the kind that an unreadable message names, or an empty string if it names none."""
    try:
        fields = msgspec.msgpack.decode(data)
    except DECODE_ERRORS:
        return ""
    kind = fields.get("type") if isinstance(fields, dict) else None
    return kind[:_MAX_LOGGED_CHARS] if isinstance(kind, str) else ""

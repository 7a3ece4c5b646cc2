"""The socket by which routers send each other small messages that may get lost."""

import contextlib
import socket
import threading
from collections.abc import Callable

import msgspec

from aspengate.peers._messages import Datagram
from aspengate.store import DECODE_ERRORS
from aspengate.telemetry import Counters, lasting_thread, log_change

_MOST_BYTES = 64 * 1024
_PAUSE_S = 0.1

OnDatagram = Callable[[Datagram, str], None]


class DatagramPort:
    """Sends and receives datagrams at ``address``.

    ``on_datagram`` is called with each message and the address that it came from, on a thread
    of this port's own.
    """

    def __init__(self, address: str, counters: Counters, on_datagram: OnDatagram) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._counters = counters
        self._on_datagram = on_datagram
        self._closing = threading.Event()
        self._thread = lasting_thread(self._run, "datagrams", counters)

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def send(self, message: Datagram, *addresses: str) -> None:
        """Send a message to each address; whether it arrives is not known."""
        data = msgspec.msgpack.encode(message)
        kind = str(type(message).__struct_config__.tag)
        self._counters.count(f"datagrams.sent.{kind}", len(addresses))
        self._counters.count(f"datagrams.sent_bytes.{kind}", len(addresses) * len(data))
        for address in addresses:
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError):
                self._socket.sendto(data, (host, int(port)))

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                data, sender = self._socket.recvfrom(_MOST_BYTES)
            except OSError:
                sender = None
            if sender is None:
                self._closing.wait(_PAUSE_S)
                continue
            try:
                message = msgspec.msgpack.decode(data, type=Datagram)
            except DECODE_ERRORS:
                self._counters.count("datagrams.unreadable")
                continue
            self._hand_over(message, f"{sender[0]}:{sender[1]}")

    def _hand_over(self, message: Datagram, sender: str) -> None:
        try:
            self._on_datagram(message, sender)
        except Exception as error:
            self._counters.count("datagrams.failed")
            log_change("datagram.failed", sender=sender, error=repr(error))

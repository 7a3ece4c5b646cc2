"""Small datagrams by which routers tell each other what they know, and that they live."""

import contextlib
import random
import socket
import threading
from collections.abc import Callable, Iterable

import msgspec

from aspengate.peers._members import Member
from aspengate.telemetry import Counters

_MOST_BYTES = 8 * 1024
_RECEIVERS = 4


class PeerNews(msgspec.Struct, frozen=True):
    """What one router tells others.

    ``revisions`` maps a prefix of the store to the newest change known below it.
    """

    member: Member
    revisions: dict[str, int] = {}


class Beacon:
    """Sends and receives news by UDP at ``address``."""

    def __init__(
        self, address: str, counters: Counters, on_news: Callable[[PeerNews], None]
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self._counters = counters
        self._on_news = on_news
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="beacon")

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def send(self, news: PeerNews, addresses: Iterable[str], most: int = _RECEIVERS) -> None:
        """Send news to ``most`` of the addresses, chosen at random."""
        data = msgspec.msgpack.encode(news)
        listed = list(addresses)
        for address in random.sample(listed, min(most, len(listed))):
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError):
                self._socket.sendto(data, (host, int(port)))

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                data, _ = self._socket.recvfrom(_MOST_BYTES)
            except OSError:
                if self._closing.wait(0.1):
                    return
                continue
            try:
                news = msgspec.msgpack.decode(data, type=PeerNews)
            except msgspec.MsgspecError:
                self._counters.count("beacon.unreadable")
                continue
            self._on_news(news)

"""Batches what an agent sends, so that many streams share one message."""

import queue
import threading
from collections.abc import Callable, Collection

from aspengate.clock import Clock
from aspengate.transport import Chunk, Chunks, Message

_MAX_BATCH_ITEMS = 2_000
_STOP_POLL_S = 0.2

Send = Callable[[str, Message], bool]


class Outbox:
    """One thread that sends all of an agent's frames, in order for each router.

    While one batch is being sent the next one builds up, so that batches grow with the load
    and a lone token is not held back. ``linger_ms`` waits longer for more, to trade delay for
    fewer messages. ``sent_ms`` says when each router last got something, so that it needs no
    heartbeat.
    """

    def __init__(self, send: Send, clock: Clock, linger_ms: float = 0.0) -> None:
        self.clock = clock
        self.sent_ms: dict[str, float] = {}
        self.linger_ms = linger_ms
        self._send = send
        self._queue: queue.SimpleQueue[tuple[str, str, Message | Chunk]] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="outbox")

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def put(self, address: str, router_session: str, item: Message | Chunk) -> None:
        """Queue a message or a piece of a stream for a router."""
        self._queue.put((address, router_session, item))

    def forget(self, kept: Collection[str]) -> None:
        """Forget when routers got something, but for those ``kept``."""
        self.sent_ms = {
            address: sent for address, sent in self.sent_ms.copy().items() if address in kept
        }

    def close(self) -> None:
        """Send what is queued, then stop."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(5.0)

    def _run(self) -> None:
        while True:
            try:
                first = self._queue.get(timeout=_STOP_POLL_S)
            except queue.Empty:
                if self._stopping.is_set():
                    return
                continue
            if self.linger_ms:
                self._stopping.wait(self.linger_ms / 1_000)
            self._send_batch([first, *self._drain()])

    def _drain(self) -> list[tuple[str, str, Message | Chunk]]:
        drained: list[tuple[str, str, Message | Chunk]] = []
        while len(drained) < _MAX_BATCH_ITEMS:
            try:
                drained.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return drained

    def _send_batch(self, batch: list[tuple[str, str, Message | Chunk]]) -> None:
        now = self.clock.monotonic_ms()
        self.sent_ms |= dict.fromkeys((address for address, _, _ in batch), now)
        pending: dict[tuple[str, str], list[Chunk]] = {}
        for address, session, item in batch:
            target = (address, session)
            if isinstance(item, Chunk):
                pending.setdefault(target, []).append(item)
                continue
            self._flush(target, pending.pop(target, []))
            self._send(address, item)
        for target, chunks in pending.items():
            self._flush(target, chunks)

    def _flush(self, target: tuple[str, str], chunks: list[Chunk]) -> None:
        if chunks:
            address, session = target
            self._send(address, Chunks(session, tuple(chunks)))

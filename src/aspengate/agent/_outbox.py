"""Batches the frames that an agent sends, so that many streams share one message."""

import queue
import threading
from collections.abc import Callable, Collection

from aspengate.clock import Clock
from aspengate.transport import Chunk, Chunks, Message

_MAX_BATCH_ITEMS = 2_000
_STOP_POLL_S = 0.2

Send = Callable[[str, Message], bool]


class Outbox:
    """Sends all frames of an agent from one thread, in order for each router.

    Frames that arrive while a batch is being sent form the next batch, so batches grow with the
    load and a single token is sent without delay. ``linger_ms`` is an additional wait for more
    frames before each batch, which trades delay for fewer messages. ``sent_ms`` holds the
    monotonic time of the last send by router address: a router that received a frame recently
    needs no heartbeat.
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
        """Start the sending thread."""
        self._thread.start()

    def put(self, address: str, router_session: str, item: Message | Chunk) -> None:
        """Queue a message or a chunk of a stream for a router."""
        self._queue.put((address, router_session, item))

    def retain(self, addresses: Collection[str]) -> None:
        """Drop the send times of all routers whose address is not in ``addresses``."""
        self.sent_ms = {
            address: sent for address, sent in self.sent_ms.copy().items() if address in addresses
        }

    def close(self) -> None:
        """Send the queued frames, then stop; waits at most 5 s."""
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

"""Writes the log on a background thread, so that a slow reader of it does not block requests."""

import threading
import time
from collections import deque
from typing import Any, TextIO

import eliot
import msgspec

_DEFAULT_CAPACITY = 2_000
_POLL_S = 0.2
_FLUSH_S = 0.5


class BackgroundLog:
    """An eliot destination that queues messages and writes them on a background thread.

    If the queue is full, a message is dropped and counted; the next lines written include the
    number of dropped messages. ``capacity`` is the maximum number of queued messages.
    """

    def __init__(self, stream: TextIO, capacity: int = _DEFAULT_CAPACITY) -> None:
        self.stream = stream
        self.capacity = capacity
        self.dropped = 0
        self.written = 0
        self._reported_dropped = 0
        self._queue: deque[dict[str, Any]] = deque()
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="log")

    def start(self) -> None:
        """Start the writer thread and register this destination with eliot."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Unregister this destination and wait up to 0.5 s for queued messages to be written."""
        eliot.remove_destination(self)
        self._closing.set()
        self._wake.set()
        self._thread.join(_FLUSH_S)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message; called on the thread that logs it."""
        if len(self._queue) >= self.capacity:
            self.dropped += 1
            return
        self._queue.append(message)
        if not self._wake.is_set():
            self._wake.set()

    def _run(self) -> None:
        while not (self._closing.is_set() and not self._queue):
            if not self._wake.wait(_POLL_S) and not self._queue:
                continue
            self._wake.clear()
            self._write_all()

    def _write_all(self) -> None:
        lines = []
        while self._queue:
            lines.append(_encode_line(self._queue.popleft()))
        if self.dropped > self._reported_dropped:
            newly_dropped = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            lines.append(
                _encode_line({"message_type": "aspengate.log.dropped", "lines": newly_dropped})
            )
        if not lines:
            return
        try:
            self.stream.write("".join(lines))
            self.stream.flush()
        except (OSError, ValueError):
            self.dropped += len(lines)
            time.sleep(_POLL_S)
            return
        self.written += len(lines)


def _encode_line(message: dict[str, Any]) -> str:
    return msgspec.json.encode(message, enc_hook=str).decode() + "\n"

"""Writes the log on a thread of its own, so that a slow reader holds nobody up."""

import threading
import time
from collections import deque
from typing import Any, TextIO

import eliot
import msgspec

_CAPACITY = 2_000
_POLL_S = 0.2
_FLUSH_S = 0.5


class BackgroundLog:
    """A destination of log messages: a bounded queue, and a thread that writes its lines.

    A message that finds the queue full is dropped and counted; the count is logged as soon as
    there is room again.
    """

    def __init__(self, stream: TextIO, capacity: int = _CAPACITY) -> None:
        self.stream = stream
        self.capacity = capacity
        self.dropped = 0
        self.written = 0
        self._told = 0
        self._queue: deque[dict[str, Any]] = deque()
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="log")

    def start(self) -> None:
        """Begin to take messages, and to write."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Take no more, and write what is there if that is soon done."""
        eliot.remove_destination(self)
        self._closing.set()
        self._wake.set()
        self._thread.join(_FLUSH_S)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message; called on whatever thread logs it."""
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
            lines.append(_line(self._queue.popleft()))
        if self.dropped > self._told:
            lost = self.dropped - self._told
            self._told = self.dropped
            lines.append(_line({"message_type": "aspengate.log.dropped", "lines": lost}))
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


def _line(message: dict[str, Any]) -> str:
    return msgspec.json.encode(message, enc_hook=str).decode() + "\n"

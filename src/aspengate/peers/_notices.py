"""Broadcasts of rare events to all other routers, repeated because datagrams may be lost."""

import threading
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from aspengate.clock import Clock
from aspengate.peers._messages import (
    CrashNotice,
    HaltedRollout,
    LimitNotice,
    LimitWord,
    LostRun,
    RolloutNotice,
)
from aspengate.telemetry import Counters, supervised_thread

# Delays in ms after which a notice is sent. The first copy is sent at once, since this router may
# crash as well: its peers then have the notice within some ms. The others replace lost datagrams.
_SEND_DELAYS_MS = (0.0, 300.0, 1_000.0)
# Maximum number of entries of other messages: with about 60 bytes each, it fits into a datagram
# of 64 KB.
_MAX_ENTRIES = 400
# Maximum size of a notice of crashes, whose entries differ in length, and what the encoding adds to
# the characters of an entry, in bytes.
_MAX_NOTICE_BYTES = 32 * 1024
_ENTRY_OVERHEAD_BYTES = 8

_Notice = TypeVar("_Notice", CrashNotice, LimitNotice, RolloutNotice)


class NoticeExchange(Generic[_Notice]):
    """Sends each notice to all other routers, several times, on a thread of its own.

    Notices go to all routers directly and not through leaders. They are rare, so that this is
    cheap, and a notice that only a leader has received would be lost if both routers crashed.

    ``merge`` combines notices into messages of limited size. ``min_interval_ms`` is the minimum
    time between two batches of messages.
    """

    def __init__(
        self,
        name: str,
        merge: Callable[[Iterable[_Notice]], list[_Notice]],
        clock: Clock,
        counters: Counters,
        send: Callable[..., None],
        addresses: Callable[[], list[str]],
        min_interval_ms: float = 0.0,
    ) -> None:
        self._merge: Callable[[Iterable[_Notice]], list[_Notice]] = merge
        self._clock = clock
        self._send = send
        self._addresses = addresses
        self._min_interval_s = min_interval_ms / 1_000
        self._due: list[tuple[float, _Notice]] = []
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, name, counters)

    def start(self) -> None:
        """Start to send notices."""
        self._thread.start()

    def close(self) -> None:
        """Stop sending; notices that are still due are dropped."""
        self._closing.set()
        self._wakeup.set()

    def announce(self, notice: _Notice) -> None:
        """Queue a notice for all other routers."""
        now = self._clock.monotonic_ms()
        with self._lock:
            self._due += [(now + after_ms, notice) for after_ms in _SEND_DELAYS_MS]
        self._wakeup.set()

    def _run(self) -> None:
        while not self._closing.is_set():
            pause_ms = self._send_due()
            self._wakeup.wait(None if pause_ms is None else pause_ms / 1_000)
            self._wakeup.clear()

    def _send_due(self) -> float | None:
        """Send the due notices; return the time in ms until more are due, None if none wait."""
        now = self._clock.monotonic_ms()
        with self._lock:
            due = [notice for due_ms, notice in self._due if due_ms <= now]
            self._due = [each for each in self._due if each[0] > now]
            next_ms = min((due_ms for due_ms, _ in self._due), default=None)
        for message in self._merge(due):
            self._send(message, *self._addresses())
        if due:
            self._closing.wait(self._min_interval_s)
        return None if next_ms is None else max(0.0, next_ms - self._clock.monotonic_ms())


def merge_crashes(notices: Iterable[CrashNotice]) -> list[CrashNotice]:
    """Return messages that contain each entry of the notices once."""
    entries: dict[tuple[str, str | LostRun], int] = {}
    for notice in notices:
        entries.update((("lost", each), len(each.content) + len(each.run)) for each in notice.lost)
        entries.update((("ended", each), len(each)) for each in notice.ended)
        entries.update((("cleared", each), len(each)) for each in notice.cleared)
    messages: list[CrashNotice] = []
    size = _MAX_NOTICE_BYTES
    for (name, entry), length in entries.items():
        size += length + _ENTRY_OVERHEAD_BYTES
        if size > _MAX_NOTICE_BYTES:
            messages.append(CrashNotice([], [], []))
            size = length + _ENTRY_OVERHEAD_BYTES
        getattr(messages[-1], name).append(entry)
    return messages


def merge_limits(notices: Iterable[LimitNotice]) -> list[LimitNotice]:
    """Return messages with the newest limit of each incarnation of a replica."""
    newest: dict[str, LimitWord] = {}
    for notice in notices:
        for word in notice.words:
            if word.number >= newest.get(word.replica, word).number:
                newest[word.replica] = word
    words = list(newest.values())
    return [
        LimitNotice(words[first : first + _MAX_ENTRIES])
        for first in range(0, len(words), _MAX_ENTRIES)
    ]


def merge_halted_rollouts(notices: Iterable[RolloutNotice]) -> list[RolloutNotice]:
    """Return messages with the latest halted attempt of each service."""
    latest: dict[str, int] = {}
    for notice in notices:
        for each in notice.halted:
            latest[each.service] = max(each.generation, latest.get(each.service, 0))
    halted = [HaltedRollout(service, generation) for service, generation in latest.items()]
    return [
        RolloutNotice(halted[first : first + _MAX_ENTRIES])
        for first in range(0, len(halted), _MAX_ENTRIES)
    ]

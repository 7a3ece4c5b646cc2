"""Routers tell all others of something rare, several times since a message may get lost."""

import threading
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from aspengate.clock import Clock
from aspengate.peers._messages import CrashNotice, LimitNotice, LimitWord, LostRun
from aspengate.telemetry import Counters, lasting_thread

# When a notice is sent, in ms after it was made. At once, since its router may end as well: peers
# have it within some ms. Again, since a datagram may get lost.
_SEND_MS = (0.0, 300.0, 1_000.0)
# What one message holds at most, of some 60 bytes each, for a datagram of 64 KB.
_MOST_TOGETHER = 400

_Notice = TypeVar("_Notice", CrashNotice, LimitNotice)


class NoticeExchange(Generic[_Notice]):
    """Sends each notice to all other routers, several times, on a thread of its own.

    All are told by the router itself, not by way of leaders: what is told is rare, and a router
    that waited for another one to pass it on would take what it knows with it where both end.

    ``merge`` makes messages of bounded size that say what several notices do. Messages are sent
    ``least_gap_ms`` apart at least.
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
        self._least_gap_s = min_interval_ms / 1_000
        self._due: list[tuple[float, _Notice]] = []
        self._lock = threading.Lock()
        self._some = threading.Event()
        self._closing = threading.Event()
        self._thread = lasting_thread(self._run, name, counters)

    def start(self) -> None:
        """Begin to tell."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()
        self._some.set()

    def announce(self, notice: _Notice) -> None:
        """Tell all other routers."""
        now = self._clock.monotonic_ms()
        with self._lock:
            self._due += [(now + after_ms, notice) for after_ms in _SEND_MS]
        self._some.set()

    def _run(self) -> None:
        while not self._closing.is_set():
            pause_ms = self._send_due()
            self._some.wait(None if pause_ms is None else pause_ms / 1_000)
            self._some.clear()

    def _send_due(self) -> float | None:
        """Send what is due; return after how many ms more is, None where nothing waits."""
        now = self._clock.monotonic_ms()
        with self._lock:
            due = [notice for due_ms, notice in self._due if due_ms <= now]
            self._due = [each for each in self._due if each[0] > now]
            next_ms = min((due_ms for due_ms, _ in self._due), default=None)
        for message in self._merge(due):
            self._send(message, *self._addresses())
        if due:
            self._closing.wait(self._least_gap_s)
        return None if next_ms is None else max(0.0, next_ms - self._clock.monotonic_ms())


def merge_crashes(notices: Iterable[CrashNotice]) -> list[CrashNotice]:
    """Return messages that say which requests replicas ended under."""
    lost: dict[LostRun, None] = {}
    ended: dict[str, None] = {}
    cleared: dict[str, None] = {}
    for notice in notices:
        lost.update(dict.fromkeys(notice.lost))
        ended.update(dict.fromkeys(notice.ended))
        cleared.update(dict.fromkeys(notice.cleared))
    most = max(len(lost), len(ended), len(cleared))
    return [
        CrashNotice(
            list(lost)[first : first + _MOST_TOGETHER],
            list(ended)[first : first + _MOST_TOGETHER],
            list(cleared)[first : first + _MOST_TOGETHER],
        )
        for first in range(0, most, _MOST_TOGETHER)
    ]


def merge_limits(notices: Iterable[LimitNotice]) -> list[LimitNotice]:
    """Return messages with the newest word on the limit of each start of a replica."""
    newest: dict[str, LimitWord] = {}
    for notice in notices:
        for word in notice.words:
            if word.number >= newest.get(word.replica, word).number:
                newest[word.replica] = word
    words = list(newest.values())
    return [
        LimitNotice(words[first : first + _MOST_TOGETHER])
        for first in range(0, len(words), _MOST_TOGETHER)
    ]

"""A local copy of the items below a prefix, kept current by a watch."""

import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store._port import Changes, HistoryLostError, KeyValueStore, Snapshot, StoreItem
from aspengate.telemetry import Counters, log_change

_FIRST_PAUSE_MS = 50.0
_LONGEST_PAUSE_MS = 1_000.0
_PAUSE_GROWTH = 2.0
# A watch that waits long tells late whether the store hears it: the first one after a failure
# asks for an early answer.
_PROBE_MS = 50


@dataclass(frozen=True)
class MirrorState:
    """The items by key, as of the store's ``revision``; a revision of 0 means none are known.

    ``changed`` is the revision of the newest change that is known below the prefix.
    """

    items: Mapping[str, StoreItem] = field(default_factory=dict)
    revision: int = 0
    changed: int = 0


class StoreMirror:
    """Follows one prefix of the store on a thread of its own.

    ``on_change`` is called with each new state, on the thread that learned of it. A state from
    another process may be handed in by ``offer``: revisions are the store's, so the higher one
    is the newer one, wherever it comes from.

    Each watch waits up to ``wait_ms``. After one that told changes the next begins as many
    milliseconds later as ``gather_ms`` says then, so that changes which come together cost one
    call.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        clock: Clock,
        counters: Counters,
        on_change: Callable[[MirrorState], None],
        wait_ms: int,
        gather_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.prefix = prefix
        self.state = MirrorState()
        self.connected = False
        self.wait_ms = wait_ms
        self.gather_ms = gather_ms
        self._store = store
        self._clock = clock
        self._counters = counters
        self._on_change = on_change
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name=f"mirror-{prefix}")

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def close(self) -> None:
        """Stop following; a watch that is waiting ends by itself."""
        self._closing.set()

    def offer(self, snapshot: Snapshot) -> bool:
        """Take over a whole state if it is newer than the one held; return whether it was."""
        with self._lock:
            if snapshot.revision <= self.state.revision:
                return False
            items = {item.key: item for item in snapshot.items}
            differs = items != self.state.items
            newest = max((item.revision for item in snapshot.items), default=0)
            changed = max(newest, snapshot.changed, self.state.changed)
            self.state = MirrorState(items, snapshot.revision, changed)
            if differs:
                self._on_change(self.state)
            return True

    def _run(self) -> None:
        pause_ms = _FIRST_PAUSE_MS
        listed = False
        while not self._closing.is_set():
            try:
                if not listed:
                    self.offer(self._store.list_items(self.prefix))
                    listed = True
                has_changed = self._follow()
                self._note_connected()
                pause_ms = _FIRST_PAUSE_MS
                if has_changed:
                    self._closing.wait(self.gather_ms() / 1_000)
            except HistoryLostError:
                self._counters.count("mirror.history_lost")
                log_change("store.history_lost", prefix=self.prefix, revision=self.state.revision)
                listed = False
                self._closing.wait(_FIRST_PAUSE_MS / 1_000)
            except AspengateError as error:
                self._note_lost(error)
                self._closing.wait(pause_ms * random.uniform(0.5, 1.0) / 1_000)
                pause_ms = min(pause_ms * _PAUSE_GROWTH, _LONGEST_PAUSE_MS)

    def _follow(self) -> bool:
        """Wait for changes and take them over; return whether there were any."""
        wait_ms = self.wait_ms if self.connected else _PROBE_MS
        changes = self._store.changes(self.prefix, self.state.revision, wait_ms)
        with self._lock:
            if changes.revision <= self.state.revision:
                return False
            items = dict(self.state.items)
            changed = max(_apply(changes, items), self.state.changed)
            self.state = MirrorState(items, changes.revision, changed)
            has_changed = bool(changes.written or changes.removed)
            if has_changed:
                self._on_change(self.state)
            return has_changed

    def _note_connected(self) -> None:
        if not self.connected:
            self.connected = True
            log_change("store.connected", prefix=self.prefix, revision=self.state.revision)

    def _note_lost(self, error: AspengateError) -> None:
        self._counters.count("mirror.failed")
        if self.connected:
            self.connected = False
            log_change("store.lost", prefix=self.prefix, error=str(error))


def _apply(changes: Changes, items: dict[str, StoreItem]) -> int:
    """Apply changes by revision, so that what is already known is not undone by older news.

    Return the revision of the newest change.
    """
    for item in changes.written:
        known = items.get(item.key)
        if known is None or item.revision > known.revision:
            items[item.key] = item
    for removal in changes.removed:
        known = items.get(removal.key)
        if known is not None and removal.revision > known.revision:
            del items[removal.key]
    written = max((item.revision for item in changes.written), default=0)
    return max(written, max((removal.revision for removal in changes.removed), default=0))

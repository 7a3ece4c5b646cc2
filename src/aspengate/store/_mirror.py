"""Mirrors the store's items below a prefix in memory, updated by a watch or by peers."""

import enum
import random
import threading
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store._era import HistoryLostError
from aspengate.store._port import (
    Changes,
    KeyValueStore,
    Removal,
    Snapshot,
    StoreItem,
)
from aspengate.store._revision import era_of, number_of
from aspengate.store._unconfirmed import UnconfirmedItems, WriterOrder, no_order
from aspengate.telemetry import Counters, log_change, supervised_thread

_INITIAL_BACKOFF_MS = 50.0
_MAX_BACKOFF_MS = 1_500.0
_BACKOFF_FACTOR = 2.0
# The first watch after a failure waits only this long, since a long watch would report late whether
# the store is reachable.
_PROBE_WATCH_MS = 50
# The number of removals remembered for other processes: more than the replicas of a large fleet.
_MAX_REMOVALS = 4_096
# The interval at which a mirror that makes no calls checks its mode if nothing wakes it earlier.
_MODE_POLL_MS = 250.0
# How long known items are retained if a store restored from an older copy lacks them or holds
# other values. The records of live replicas are written again within about 2 s.
UNCONFIRMED_RETENTION_MS = 3_000.0
_MAX_LOGGED_KEYS = 20
_MAX_LOGGED_CHARS = 300

WatchChangesCallback = Callable[[int, Changes], None]


class MirrorMode(enum.Enum):
    """How a mirror receives changes.

    FOLLOWING: from its own watches of the store. TOLD: from another process. WAITING: not yet
    decided; the mirror makes no calls until it is.
    """

    FOLLOWING = "following"
    TOLD = "told"
    WAITING = "waiting"


@dataclass(frozen=True)
class MirrorState:
    """Holds the items by key as of the store's ``revision``; 0 means that none have been read.

    ``changed_revision`` is the revision of the newest known change below the prefix.
    ``unconfirmed`` holds the items that apply in addition to those in the store, after it was
    restored from an older copy.
    """

    items: Mapping[str, StoreItem] = field(default_factory=dict)
    revision: int = 0
    changed_revision: int = 0
    unconfirmed: UnconfirmedItems = field(default_factory=UnconfirmedItems)


class StoreMirror:
    """Mirrors one prefix of the store, on its own thread.

    ``on_change`` is called with each new state, on the thread that received the change. States and
    changes from other processes can be passed to ``apply_snapshot`` and ``apply_changes``. All
    revisions are the store's, so the higher one is the later one, whatever its source.

    ``state`` holds the items in the store. If the store was restored from an older copy, the state
    passed to ``on_change`` also contains the items known before, for ``retention_ms`` or until
    they are written again; ``order`` decides which of two items its writer wrote later.

    Each watch waits up to ``wait_ms``. After a watch that returned changes, the next one is delayed
    by the result of ``coalesce_ms``, in ms, so that changes made at about the same time cost one
    call. While the store does not answer, calls are retried with a backoff that grows up to the
    result of ``max_backoff_ms``.

    Unless ``mode`` returns FOLLOWING, the mirror makes no calls and relies on other processes.
    ``on_watch_changes`` is called with the changes returned by the mirror's own watch, and the
    revision of the newest change known before them. ``on_status_change`` is called when the store
    has become reachable or unreachable, and after all items have been listed again.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        clock: Clock,
        counters: Counters,
        on_change: Callable[[MirrorState], None],
        wait_ms: int,
        coalesce_ms: Callable[[], float] = lambda: 0.0,
        mode: Callable[[], MirrorMode] = lambda: MirrorMode.FOLLOWING,
        max_backoff_ms: Callable[[], float] = lambda: _MAX_BACKOFF_MS,
        retention_ms: float = UNCONFIRMED_RETENTION_MS,
        order: WriterOrder = no_order,
    ) -> None:
        self.prefix = prefix
        self.state = MirrorState()
        self.connected = False
        self.on_watch_changes: WatchChangesCallback = lambda *_: None
        self.on_status_change: Callable[[], None] = lambda: None
        self.wait_ms = wait_ms
        self.coalesce_ms = coalesce_ms
        self._store = store
        self._clock = clock
        self._counters = counters
        self._on_change = on_change
        self._lock = threading.Lock()
        self._mode = mode
        self._max_backoff_ms = max_backoff_ms
        self._retention_ms = retention_ms
        self._order = order
        self._unconfirmed = UnconfirmedItems()
        # Keys known to be removed, in the order of their removal.
        self._removed_keys: OrderedDict[str, None] = OrderedDict()
        self._last_watch_succeeded = False
        self._removals: deque[Removal] = deque(maxlen=_MAX_REMOVALS)
        self._removals_since = 0
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, f"mirror-{prefix}", counters)

    def start(self) -> None:
        """Start the mirror's thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the mirror's thread; it ends once its waiting watch is answered or times out."""
        self._closing.set()
        self._wake.set()

    def recheck_mode(self) -> None:
        """Check the mode now instead of at the next poll."""
        self._wake.set()

    @property
    def last_watch_succeeded(self) -> bool:
        """Whether the store answered this mirror's own last watch."""
        return self._last_watch_succeeded

    def apply_changes(self, previous: int, changes: Changes) -> bool:
        """Apply changes received from another process; return False if earlier ones are missing.

        ``previous`` is the revision of the newest change before them.
        """
        with self._lock:
            if not self.state.revision or self.state.revision < previous:
                return False
            if changes.revision > self.state.revision:
                self._apply_locked(changes)
            return True

    def changes_since(self, revision: int) -> Changes | None:
        """Return the changes after ``revision``; None if they are no longer known."""
        with self._lock:
            if not 0 < self._removals_since <= revision:
                return None
            items = self.state.items
            written = tuple(each for each in items.values() if each.revision > revision)
            removed = tuple(
                each
                for each in self._removals
                if each.revision > revision and each.key not in items
            )
            return Changes(written, removed, self.state.revision)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot if that is newer; return whether it was."""
        with self._lock:
            if snapshot.revision <= self.state.revision:
                return False
            items = {item.key: item for item in snapshot.items}
            differs = items != self.state.items
            was_known = self.state.revision > 0
            is_restored = was_known and era_of(snapshot.revision) > era_of(self.state.revision)
            if is_restored:
                self._retain_unconfirmed(items, snapshot.revision)
            else:
                self._unconfirmed = self._unconfirmed.after_snapshot(items)
            removed = set(self.state.items) - set(items)
            removed |= {key for key, item in self._unconfirmed.items.items() if item is None}
            self._update_removed_keys(removed, items)
            newest = max((item.revision for item in snapshot.items), default=0)
            changed = max(newest, snapshot.changed_revision, self.state.changed_revision)
            self.state = MirrorState(items, snapshot.revision, changed)
            self._removals.clear()
            self._removals_since = snapshot.revision
            if differs or is_restored:
                self._publish_state()
            return True

    def _retain_unconfirmed(self, stored: Mapping[str, StoreItem], revision: int) -> None:
        """Retain known items that a restored store does not confirm; the lock is held."""
        known = self._unconfirmed.overlay(self.state.items)
        expires_ms = self._clock.monotonic_ms() + self._retention_ms
        self._unconfirmed = UnconfirmedItems.reconcile(
            known, self._removed_keys, stored, revision, expires_ms, self._order
        )
        self._counters.count("mirror.restored")
        log_change(
            "store.restored",
            prefix=self.prefix,
            era=era_of(revision),
            revision=number_of(revision),
            known=number_of(self.state.revision),
            kept=sorted(self._unconfirmed.items)[:_MAX_LOGGED_KEYS],
        )

    def _expire_unconfirmed(self) -> None:
        """Drop items that were not written again before their expiry."""
        if not self._unconfirmed.items or self._clock.monotonic_ms() < self._unconfirmed.expires_ms:
            return
        with self._lock:
            expired, self._unconfirmed = self._unconfirmed, UnconfirmedItems()
            self._update_removed_keys(set(expired.items) - set(self.state.items), self.state.items)
            log_change(
                "store.kept_ended",
                prefix=self.prefix,
                kept=sorted(expired.items)[:_MAX_LOGGED_KEYS],
            )
            self._publish_state()

    def _update_removed_keys(self, removed: Iterable[str], stored: Iterable[str]) -> None:
        """Add ``removed`` to the removed keys, and drop ``stored`` from them; the lock is held."""
        for key in stored:
            self._removed_keys.pop(key, None)
        for key in removed:
            self._removed_keys[key] = None
        while len(self._removed_keys) > _MAX_REMOVALS:
            self._removed_keys.popitem(last=False)

    def _run(self) -> None:
        backoff_ms = _INITIAL_BACKOFF_MS
        listed = False
        while not self._closing.is_set():
            try:
                self._expire_unconfirmed()
                mode = self._mode()
                if mode is not MirrorMode.FOLLOWING:
                    listed = listed or bool(self.state.revision)
                    self._wait_for_mode_change(mode)
                    continue
                if not listed or self._is_from_earlier_era:
                    self._list()
                    listed = True
                has_changed = self._watch()
                self._record_connected()
                backoff_ms = _INITIAL_BACKOFF_MS
                if has_changed:
                    self._closing.wait(self.coalesce_ms() / 1_000)
            except HistoryLostError:
                self._counters.count("mirror.history_lost")
                log_change(
                    "store.history_lost",
                    prefix=self.prefix,
                    era=era_of(self.state.revision),
                    revision=number_of(self.state.revision),
                )
                listed = False
                self._closing.wait(_INITIAL_BACKOFF_MS / 1_000)
            except AspengateError as error:
                if listed and self._is_from_earlier_era:
                    # Watches are aborted when another call shows that the store was restored.
                    listed = False
                    continue
                self._record_disconnected(error)
                self._closing.wait(backoff_ms * random.uniform(0.5, 1.0) / 1_000)
                backoff_ms = min(backoff_ms * _BACKOFF_FACTOR, self._max_backoff_ms())
            except Exception as error:
                self._record_fault(error)
                self._closing.wait(_MAX_BACKOFF_MS / 1_000)

    @property
    def _is_from_earlier_era(self) -> bool:
        return era_of(self.state.revision) < self._store.era.current

    def _wait_for_mode_change(self, mode: MirrorMode) -> None:
        """Make no calls for a while; reports from another process count as a connection."""
        self._last_watch_succeeded = False
        self.connected = mode is MirrorMode.TOLD and bool(self.state.revision)
        self._wake.wait(_MODE_POLL_MS / 1_000)
        self._wake.clear()

    def _list(self) -> None:
        """List all items; removals before the list are covered by its revision."""
        found = self._store.list_items(self.prefix)
        known = self.state.revision
        is_newer = self.apply_snapshot(replace(found, changed_revision=found.revision))
        log_change(
            "store.listed",
            prefix=self.prefix,
            era=era_of(found.revision),
            revision=number_of(found.revision),
            known=number_of(known),
            items=len(found.items),
            is_newer=is_newer,
        )
        self.on_status_change()
        if self._is_from_earlier_era:
            raise HistoryLostError(self.prefix)

    def _watch(self) -> bool:
        """Wait for changes and apply them; return whether there were any."""
        wait_ms = self.wait_ms if self._last_watch_succeeded else _PROBE_WATCH_MS
        if self._unconfirmed.items:
            remaining_ms = self._unconfirmed.expires_ms - self._clock.monotonic_ms()
            wait_ms = int(min(wait_ms, max(_PROBE_WATCH_MS, remaining_ms)))
        changes = self._store.changes(self.prefix, self.state.revision, wait_ms)
        with self._lock:
            if changes.revision <= self.state.revision:
                return False
            previous = self.state.changed_revision
            self._apply_locked(changes)
        has_changed = bool(changes.written or changes.removed)
        if has_changed:
            self.on_watch_changes(previous, changes)
        return has_changed

    def _apply_locked(self, changes: Changes) -> None:
        """Apply changes and publish the new state; the lock is held."""
        items = dict(self.state.items)
        overflow = len(self._removals) + len(changes.removed) - _MAX_REMOVALS
        if overflow > 0:
            self._removals_since = changes.revision
        self._removals.extend(changes.removed)
        self._unconfirmed = self._unconfirmed.after_changes(changes)
        self._update_removed_keys(
            (each.key for each in changes.removed), (each.key for each in changes.written)
        )
        changed = max(_merge(changes, items), self.state.changed_revision)
        self.state = MirrorState(items, changes.revision, changed)
        if changes.written or changes.removed:
            self._publish_state()

    def _publish_state(self) -> None:
        """Pass the new state to ``on_change``; its exceptions must not end the mirror thread."""
        state = self.state
        if self._unconfirmed.items:
            state = replace(
                state, items=self._unconfirmed.overlay(state.items), unconfirmed=self._unconfirmed
            )
        try:
            self._on_change(state)
        except Exception as error:
            self._record_fault(error)

    def _record_fault(self, error: Exception) -> None:
        self._counters.count("mirror.faults")
        log_change("mirror.fault", prefix=self.prefix, error=repr(error)[:_MAX_LOGGED_CHARS])

    def _record_connected(self) -> None:
        succeeded_before, self._last_watch_succeeded = self._last_watch_succeeded, True
        if not self.connected:
            self.connected = True
            log_change(
                "store.connected",
                prefix=self.prefix,
                era=era_of(self.state.revision),
                revision=number_of(self.state.revision),
            )
        if not succeeded_before:
            self.on_status_change()

    def _record_disconnected(self, error: AspengateError) -> None:
        self._counters.count("mirror.failed")
        self._last_watch_succeeded = False
        if self.connected:
            self.connected = False
            log_change("store.lost", prefix=self.prefix, error=str(error))
            self.on_status_change()


def _merge(changes: Changes, items: dict[str, StoreItem]) -> int:
    """Merge changes into ``items`` by revision, so that older changes do not undo newer ones.

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

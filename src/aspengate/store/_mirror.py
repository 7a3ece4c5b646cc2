"""A local copy of the items below a prefix, kept current by a watch."""

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
from aspengate.telemetry import Counters, lasting_thread, log_change

_FIRST_PAUSE_MS = 50.0
_LONGEST_PAUSE_MS = 1_500.0
_PAUSE_GROWTH = 2.0
# A watch that waits long tells late whether the store hears it: the first one after a failure
# asks for an early answer.
_PROBE_MS = 50
# So many removals are remembered to tell other processes; more than the replicas of a large fleet.
_MOST_REMOVALS = 4_096
# How often a mirror that rests looks whether it still may where nothing wakes it up, in ms.
_REST_LOOK_MS = 250.0
# How long what was known is kept where a store that came back from an older copy holds something
# else, in ms: the records of live replicas are back within about two seconds.
UNCONFIRMED_RETENTION_MS = 3_000.0
# So many keys are told in a line.
_MOST_KEPT_TOLD = 20
# What a line tells of a fault, in characters.
_MOST_TOLD = 300

WatchChangesCallback = Callable[[int, Changes], None]


class MirrorMode(enum.Enum):
    """Where a mirror learns of changes: by own watches, from another process, or not yet at all.

    One that is waiting makes no call; it learns shortly which of the two it is to be.
    """

    FOLLOWING = "following"
    TOLD = "told"
    WAITING = "waiting"


@dataclass(frozen=True)
class MirrorState:
    """The items by key, as of the store's ``revision``; a revision of 0 means none are known.

    ``changed`` is the revision of the newest change that is known below the prefix. ``kept`` is
    what holds beside the items that the store has, after it came back from an older copy.
    """

    items: Mapping[str, StoreItem] = field(default_factory=dict)
    revision: int = 0
    changed_revision: int = 0
    unconfirmed: UnconfirmedItems = field(default_factory=UnconfirmedItems)


class StoreMirror:
    """Follows one prefix of the store on a thread of its own.

    ``on_change`` is called with each new state, on the thread that learned of it. A state from
    another process may be handed in by ``offer``: revisions are the store's, so the higher one
    is the later one, wherever it comes from.

    ``state`` holds what the store has. Where that came back from an older copy, the state that is
    handed on holds what was known before as well, for ``keep_ms`` or until it is written again;
    ``order`` tells which of two items its writer wrote later.

    Each watch waits up to ``wait_ms``. After one that told changes the next begins as many
    milliseconds later as ``gather_ms`` says then, so that changes which come together cost one
    call. While the store does not answer it is asked again after pauses that grow up to what
    ``longest_pause_ms`` says.

    Unless its ``stance`` is to follow, the mirror makes no call: another process tells of changes
    by ``apply`` and ``offer``. ``on_followed`` is called with what an own watch told, and the
    revision of the newest change that was known before; ``on_news`` where an own call to the
    store told more than a watch does: that it answers again or no more, or all items anew.
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
        max_backoff_ms: Callable[[], float] = lambda: _LONGEST_PAUSE_MS,
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
        self._stance = mode
        self._longest_pause_ms = max_backoff_ms
        self._keep_ms = retention_ms
        self._order = order
        self._kept = UnconfirmedItems()
        # Keys that are known as removed, the last one removed last.
        self._gone: OrderedDict[str, None] = OrderedDict()
        self._proven = False
        self._removals: deque[Removal] = deque(maxlen=_MOST_REMOVALS)
        self._removals_since = 0
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread = lasting_thread(self._run, f"mirror-{prefix}", counters)

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def close(self) -> None:
        """Stop following; a watch that is waiting ends by itself."""
        self._closing.set()
        self._wake.set()

    def recheck_mode(self) -> None:
        """Look at the stance at once."""
        self._wake.set()

    @property
    def last_watch_succeeded(self) -> bool:
        """Whether the store answered the last watch of this mirror's own."""
        return self._proven

    def apply_changes(self, after: int, changes: Changes) -> bool:
        """Take over changes that another process saw; return whether they lead on from here.

        ``after`` is the revision of the newest change before them.
        """
        with self._lock:
            if not self.state.revision or self.state.revision < after:
                return False
            if changes.revision > self.state.revision:
                self._take(changes)
            return True

    def changes_since(self, revision: int) -> Changes | None:
        """Return what has changed after ``revision``; None where that is not known any more."""
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
        """Take over a whole state if it is newer than the one held; return whether it was."""
        with self._lock:
            if snapshot.revision <= self.state.revision:
                return False
            items = {item.key: item for item in snapshot.items}
            differs = items != self.state.items
            was_known = self.state.revision > 0
            is_restored = was_known and era_of(snapshot.revision) > era_of(self.state.revision)
            if is_restored:
                self._keep(items, snapshot.revision)
            else:
                self._kept = self._kept.after_snapshot(items)
            removed = set(self.state.items) - set(items)
            removed |= {key for key, item in self._kept.items.items() if item is None}
            self._note_gone(removed, items)
            newest = max((item.revision for item in snapshot.items), default=0)
            changed = max(newest, snapshot.changed_revision, self.state.changed_revision)
            self.state = MirrorState(items, snapshot.revision, changed)
            self._removals.clear()
            self._removals_since = snapshot.revision
            if differs or is_restored:
                self._hand_on()
            return True

    def _keep(self, stored: Mapping[str, StoreItem], revision: int) -> None:
        """Keep what is known against what a store that came back holds; the lock is held."""
        known = self._kept.overlay(self.state.items)
        until_ms = self._clock.monotonic_ms() + self._keep_ms
        self._kept = UnconfirmedItems.reconcile(
            known, self._gone, stored, revision, until_ms, self._order
        )
        self._counters.count("mirror.restored")
        log_change(
            "store.restored",
            prefix=self.prefix,
            era=era_of(revision),
            revision=number_of(revision),
            known=number_of(self.state.revision),
            kept=sorted(self._kept.items)[:_MOST_KEPT_TOLD],
        )

    def _end_kept(self) -> None:
        """Take what was not written again in time for gone."""
        if not self._kept.items or self._clock.monotonic_ms() < self._kept.expires_ms:
            return
        with self._lock:
            ended, self._kept = self._kept, UnconfirmedItems()
            self._note_gone(set(ended.items) - set(self.state.items), self.state.items)
            log_change(
                "store.kept_ended",
                prefix=self.prefix,
                kept=sorted(ended.items)[:_MOST_KEPT_TOLD],
            )
            self._hand_on()

    def _note_gone(self, removed: Iterable[str], stored: Iterable[str]) -> None:
        """Note which keys are known as removed, and which are not any more; the lock is held."""
        for key in stored:
            self._gone.pop(key, None)
        for key in removed:
            self._gone[key] = None
        while len(self._gone) > _MOST_REMOVALS:
            self._gone.popitem(last=False)

    def _run(self) -> None:
        pause_ms = _FIRST_PAUSE_MS
        listed = False
        while not self._closing.is_set():
            try:
                self._end_kept()
                stance = self._stance()
                if stance is not MirrorMode.FOLLOWING:
                    listed = listed or bool(self.state.revision)
                    self._rest(stance)
                    continue
                if not listed or self._is_of_earlier_era:
                    self._list()
                    listed = True
                has_changed = self._follow()
                self._note_connected()
                pause_ms = _FIRST_PAUSE_MS
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
                self._closing.wait(_FIRST_PAUSE_MS / 1_000)
            except AspengateError as error:
                if listed and self._is_of_earlier_era:
                    # Watches are ended where another call has shown that the store came back.
                    listed = False
                    continue
                self._note_lost(error)
                self._closing.wait(pause_ms * random.uniform(0.5, 1.0) / 1_000)
                pause_ms = min(pause_ms * _PAUSE_GROWTH, self._longest_pause_ms())
            except Exception as error:
                self._note_fault(error)
                self._closing.wait(_LONGEST_PAUSE_MS / 1_000)

    @property
    def _is_of_earlier_era(self) -> bool:
        return era_of(self.state.revision) < self._store.era.current

    def _rest(self, stance: MirrorMode) -> None:
        """Make no call for a while; what another process tells counts as the store's word."""
        self._proven = False
        self.connected = stance is MirrorMode.TOLD and bool(self.state.revision)
        self._wake.wait(_REST_LOOK_MS / 1_000)
        self._wake.clear()

    def _list(self) -> None:
        """Read all items; what was removed before is covered by the revision they are as of."""
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
        if self._is_of_earlier_era:
            raise HistoryLostError(self.prefix)

    def _follow(self) -> bool:
        """Wait for changes and take them over; return whether there were any."""
        wait_ms = self.wait_ms if self._proven else _PROBE_MS
        if self._kept.items:
            left_ms = self._kept.expires_ms - self._clock.monotonic_ms()
            wait_ms = int(min(wait_ms, max(_PROBE_MS, left_ms)))
        changes = self._store.changes(self.prefix, self.state.revision, wait_ms)
        with self._lock:
            if changes.revision <= self.state.revision:
                return False
            after = self.state.changed_revision
            self._take(changes)
        has_changed = bool(changes.written or changes.removed)
        if has_changed:
            self.on_watch_changes(after, changes)
        return has_changed

    def _take(self, changes: Changes) -> None:
        """Take over changes; call it with the lock held."""
        items = dict(self.state.items)
        overflow = len(self._removals) + len(changes.removed) - _MOST_REMOVALS
        if overflow > 0:
            self._removals_since = changes.revision
        self._removals.extend(changes.removed)
        self._kept = self._kept.after_changes(changes)
        self._note_gone(
            (each.key for each in changes.removed), (each.key for each in changes.written)
        )
        changed = max(_apply(changes, items), self.state.changed_revision)
        self.state = MirrorState(items, changes.revision, changed)
        if changes.written or changes.removed:
            self._hand_on()

    def _hand_on(self) -> None:
        """Hand a new state to its owner; a fault there must not end the thread that follows."""
        state = self.state
        if self._kept.items:
            state = replace(state, items=self._kept.overlay(state.items), unconfirmed=self._kept)
        try:
            self._on_change(state)
        except Exception as error:
            self._note_fault(error)

    def _note_fault(self, error: Exception) -> None:
        self._counters.count("mirror.faults")
        log_change("mirror.fault", prefix=self.prefix, error=repr(error)[:_MOST_TOLD])

    def _note_connected(self) -> None:
        was_proven, self._proven = self._proven, True
        if not self.connected:
            self.connected = True
            log_change(
                "store.connected",
                prefix=self.prefix,
                era=era_of(self.state.revision),
                revision=number_of(self.state.revision),
            )
        if not was_proven:
            self.on_status_change()

    def _note_lost(self, error: AspengateError) -> None:
        self._counters.count("mirror.failed")
        self._proven = False
        if self.connected:
            self.connected = False
            log_change("store.lost", prefix=self.prefix, error=str(error))
            self.on_status_change()


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

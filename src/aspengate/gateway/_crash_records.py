"""The store's records of requests under which replicas ended, read and written by one router."""

import enum
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from aspengate.clock import Clock
from aspengate.crashes import (
    RECORD_PREFIX,
    CrashPolicy,
    CrashRecord,
    decode_record,
    encode_record,
)
from aspengate.errors import AspengateError
from aspengate.gateway._unreadable import UnreadableItems
from aspengate.store import (
    ConditionFailedError,
    KeyValueStore,
    MirrorState,
    Put,
    StoreItem,
    era_of,
)
from aspengate.telemetry import Counters, lasting_thread, log_change

# How long to wait, in ms, before a change of a record that failed is made again. No request waits
# for it: until then a try counts as under way.
_AGAIN_MS = 500.0
# How many records there are at most; those whose next try was due first go first.
MAX_RECORDS = 1_000


class RecordChange(enum.IntEnum):
    """What is to become of a record; of two that wait together the higher one is made."""

    WRITE_AGAIN = 1
    TAKE_BACK_TRY = 2
    END_TRY = 3
    END_TRY_WITH_REPLICA = 4
    REMOVE = 5


@dataclass(frozen=True)
class _Wanted:
    """A change that was asked for, to be made from ``due_ms`` on, in monotonic milliseconds.

    ``ended_run`` is the run of a replica that ended under the try, if the change tells of one.
    """

    change: RecordChange
    due_ms: float = 0.0
    ended_run: str = ""


@dataclass(frozen=True)
class _Known:
    """A record as of the store's ``revision``; None where it can't be read, and may be replaced."""

    record: CrashRecord | None
    revision: int


class CrashRecords:
    """Keeps a copy of the records, and changes them on a thread of its own.

    Only ``begin_try`` writes at once, since a request waits for it. ``ends_of`` returns the runs of
    replicas that ended under a content, ``ended_with`` how many others ended together with a run.
    ``on_gone`` is called with the content of each record that was removed, by a router or by an
    operator. ``writes_again`` tells whether this router is one of those that write a record again
    which the store has lost.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        policy: CrashPolicy,
        ends_of: Callable[[str], Collection[str]],
        ended_with: Callable[[str], int],
        on_gone: Callable[[str], None],
        rewrites_lost: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.session = ""
        self._store = store
        self._clock = clock
        self._counters = counters
        self._policy = policy
        self._ends_of = ends_of
        self._ended_with = ended_with
        self._on_gone = on_gone
        self._writes_again = rewrites_lost
        # The store's revision up to which its records have been read.
        self._seen = 0
        # What this router wrote, and the store lost before it was read again.
        self._lost: dict[str, _Known] = {}
        # Requests whose records the store does not hold as they are known here.
        self._unwritten: set[str] = set()
        self._unreadable = UnreadableItems(counters)
        self._known: dict[str, _Known] = {}
        self._changes: dict[str, _Wanted] = {}
        self._lock = threading.Lock()
        self._some = threading.Event()
        self._closing = threading.Event()
        self._thread = lasting_thread(self._run, "crash-records", counters)

    def start(self) -> None:
        """Begin to make changes."""
        self._thread.start()

    def close(self) -> None:
        """Stop; a try whose end is not written by now counts as under way for its whole time."""
        self._closing.set()
        self._some.set()

    def get(self, content: str) -> CrashRecord | None:
        """Return the record of a request, as far as it is known here."""
        known = self._known.get(content)
        return known.record if known else None

    def __len__(self) -> int:
        return len(self._known)

    def load(self, state: MirrorState) -> None:
        """Take over the records that the store holds; one that can't be read holds nothing.

        Where the store has lost some, they hold on, and are written again.
        """
        found = {
            item.key.removeprefix(RECORD_PREFIX): self._read(item) for item in state.items.values()
        }
        kept = {key.removeprefix(RECORD_PREFIX): item for key, item in state.kept.items.items()}
        for content, item in kept.items():
            if item is not None:
                stored = state.kept.stored.get(item.key, 0)
                found[content] = replace(found[content], revision=stored)
        with self._lock:
            before, seen, self._seen = self._known, self._seen, state.revision
            for content, known in before.items():
                if known.revision > seen and era_of(known.revision) < era_of(state.revision):
                    self._lost[content] = known
            for content, known in self._lost.items():
                stored = found[content].revision if content in found else 0
                found[content] = replace(known, revision=stored)
            newer = {
                content: known
                for content, known in before.items()
                if known.revision > state.revision
            }
            self._known = {**found, **newer}
            self._unwritten = {*kept, *self._lost}
        for content in set(before) - set(self._known):
            self._on_gone(content)
        for content in list(self._unwritten):
            if self._writes_again(content):
                is_removed = content in kept and kept[content] is None
                self.request_change(
                    content, RecordChange.REMOVE if is_removed else RecordChange.WRITE_AGAIN
                )

    def begin_trial(self, content: str) -> bool:
        """Record that this router tries a request; return whether no other one was first.

        Raises STORE_UNAVAILABLE or OUTCOME_UNKNOWN where that was not written for certain.
        """
        now = self._clock.now_ms()
        known = self._known.get(content)
        record = (known.record if known else None) or CrashRecord()
        begun = record.begin_trial(self.session, self._ends_of(content), now, self._policy)
        try:
            self._write(content, begun, known.revision if known else 0)
        except ConditionFailedError as failure:
            self._take_present(content, failure)
            return False
        return True

    def request_change(self, content: str, change: RecordChange) -> None:
        """Have a record changed soon."""
        self._ask(content, _Wanted(change))

    def request_crashed_trial(self, content: str, ended_run: str) -> None:
        """Have the end of a try recorded whose replica ended, once other ends are known as well."""
        due_ms = self._clock.monotonic_ms() + self._policy.mass_crash_window_ms
        self._ask(content, _Wanted(RecordChange.END_TRY_WITH_REPLICA, due_ms, ended_run))

    def _ask(self, content: str, wanted: _Wanted) -> None:
        with self._lock:
            waiting = self._changes.get(content, wanted)
            self._changes[content] = max(wanted, waiting, key=lambda each: each.change)
        self._some.set()

    def _read(self, item: StoreItem) -> _Known:
        try:
            return _Known(decode_record(item.value, item.key), item.revision)
        except AspengateError as error:
            self._unreadable.report("crash", item, error)
            return _Known(None, item.revision)

    def _run(self) -> None:
        while not self._closing.is_set():
            self._some.wait()
            self._some.clear()
            while not self._closing.is_set() and not self.apply_pending_changes():
                self._closing.wait(_AGAIN_MS / 1_000)

    def apply_pending_changes(self) -> bool:
        """Make the changes that are due; return whether none is left to be made later."""
        now = self._clock.monotonic_ms()
        with self._lock:
            asked = self._changes
            self._changes = {key: each for key, each in asked.items() if each.due_ms > now}
        failed = {}
        for content, wanted in asked.items():
            if wanted.due_ms > now:
                continue
            try:
                if not self._make(content, wanted):
                    failed[content] = wanted
            except AspengateError as error:
                failed[content] = wanted
                self._counters.count("crashes.not_recorded")
                log_change(
                    "crash.not_recorded",
                    content=content,
                    wanted=wanted.change.name,
                    error=str(error),
                )
            except Exception as error:
                self._counters.count("crashes.not_recorded")
                log_change("crash.record_fault", content=content, error=repr(error))
        with self._lock:
            self._changes = {**failed, **self._changes}
            return not self._changes

    def _make(self, content: str, wanted: _Wanted) -> bool:
        """Make a change; return False where another router changed the record first."""
        known = self._known.get(content)
        if wanted.change is RecordChange.REMOVE:
            self._store.remove(RECORD_PREFIX + content)
            with self._lock:
                self._known.pop(content, None)
            return True
        record = (known.record if known else None) or CrashRecord()
        changed = self._changed(content, record, wanted)
        if changed == record and content not in self._unwritten:
            return True
        try:
            self._write(content, changed, known.revision if known else 0)
        except ConditionFailedError as failure:
            self._take_present(content, failure)
            return False
        self._drop_oldest()
        return True

    def _changed(self, content: str, record: CrashRecord, wanted: _Wanted) -> CrashRecord:
        """Return what a change makes of a record; a try of another router's stays as it is."""
        if record.trying != self.session or wanted.change is RecordChange.WRITE_AGAIN:
            return record
        now = self._clock.now_ms()
        if wanted.change is RecordChange.TAKE_BACK_TRY:
            return record.cancel_trial(now, self._policy)
        has_ended = (
            wanted.change is RecordChange.END_TRY_WITH_REPLICA
            and self._ended_with(wanted.ended_run) < self._policy.mass_crash_replicas
        )
        return record.end_trial(self._ends_of(content), now, self._policy, has_ended=has_ended)

    def _write(self, content: str, record: CrashRecord, revision: int) -> None:
        key = RECORD_PREFIX + content
        written = self._store.transact({key: revision}, (Put(key, encode_record(record)),))
        with self._lock:
            self._known = {**self._known, content: _Known(record, written)}
            self._lost.pop(content, None)
            self._unwritten.discard(content)

    def _take_present(self, content: str, failure: ConditionFailedError) -> None:
        """Take over what another router wrote, or that there is no record any more."""
        item = failure.items.get(RECORD_PREFIX + content)
        known = self._read(item) if item else None
        with self._lock:
            rest = {each: found for each, found in self._known.items() if each != content}
            self._known = {**rest, content: known} if known else rest
            self._lost.pop(content, None)
            self._unwritten.discard(content)

    def _due_ms(self, content: str) -> int:
        record = self.get(content)
        return record.next_try_ms if record else 0

    def _drop_oldest(self) -> None:
        if len(self._known) <= MAX_RECORDS:
            return
        oldest = min(self._known, key=self._due_ms)
        self._counters.count("crashes.dropped")
        log_change("crash.dropped", content=oldest)
        self._store.remove(RECORD_PREFIX + oldest)

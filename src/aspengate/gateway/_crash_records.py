"""Reads and writes the stored records of what is suspected of crashing replicas."""

import enum
import threading
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace

from aspengate.clock import Clock
from aspengate.crashes import (
    RECORD_PREFIX,
    CrashPolicy,
    CrashRecord,
    CrashSubject,
    RequestSubjects,
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
from aspengate.telemetry import Counters, log_change, supervised_thread

# Delay before a failed change of a record is retried, in ms. No request waits for it: until then
# the trial counts as in progress.
_RETRY_DELAY_MS = 500.0
# If there are more records, the one whose next trial was due first is removed.
MAX_RECORDS = 1_000


class RecordChange(enum.IntEnum):
    """A change of a record; if two are pending for one record, the higher one is made."""

    WRITE_AGAIN = 1
    TAKE_BACK_TRY = 2
    END_TRY = 3
    END_TRY_WITH_REPLICA = 4
    REMOVE = 5


@dataclass(frozen=True)
class _PendingChange:
    """A requested change, to be made at ``due_ms`` or later, in monotonic milliseconds.

    ``ended_run`` is the replica's run that terminated during the trial, otherwise empty.
    """

    change: RecordChange
    due_ms: float = 0.0
    ended_run: str = ""


@dataclass(frozen=True)
class _CachedRecord:
    """A record and its store revision; ``record`` is None if unreadable, and may be replaced."""

    record: CrashRecord | None
    revision: int


_ABSENT = _CachedRecord(None, 0)


class CrashRecords:
    """Caches the records, and changes them on a background thread.

    Only ``begin_trial`` writes synchronously, because a request waits for it. ``crashed_runs``
    returns the runs that a subject may have crashed, and ``count_ended_near`` how many other runs
    terminated at about the same time as a run. ``on_removed`` is called with the fingerprint of
    each record that a router or an operator has removed. ``rewrites_lost`` returns whether this
    router is one of those that write a record again which the store has lost.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        policy: CrashPolicy,
        crashed_runs: Callable[[str], Collection[str]],
        count_ended_near: Callable[[str], int],
        on_removed: Callable[[str], None],
        rewrites_lost: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.session = ""
        self._store = store
        self._clock = clock
        self._counters = counters
        self._policy = policy
        self._crashed_runs = crashed_runs
        self._count_ended_near = count_ended_near
        self._on_removed = on_removed
        self._rewrites_lost = rewrites_lost
        # The store revision up to which the records have been read.
        self._loaded = 0
        # Records that this router wrote and the store lost before they were read back.
        self._lost: dict[str, _CachedRecord] = {}
        # Fingerprints of records that differ from the store's and have to be written.
        self._unwritten: set[str] = set()
        self._unreadable = UnreadableItems(counters)
        self._records: dict[str, _CachedRecord] = {}
        self._changes: dict[str, _PendingChange] = {}
        self._lock = threading.Lock()
        self._has_changes = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "crash-records", counters)

    def start(self) -> None:
        """Start to make changes."""
        self._thread.start()

    def close(self) -> None:
        """Stop; a trial whose outcome is not yet written counts as in progress until it expires."""
        self._closing.set()
        self._has_changes.set()

    def get(self, fingerprint: str) -> CrashRecord | None:
        """Return the cached record of a request, or None."""
        cached = self._records.get(fingerprint)
        return cached.record if cached else None

    def __len__(self) -> int:
        return len(self._records)

    def load(self, state: MirrorState) -> None:
        """Replace the cached records by the store's; an unreadable one counts as empty.

        Records that the store has lost stay in effect and are written again.
        """
        found = {
            item.key.removeprefix(RECORD_PREFIX): self._read(item) for item in state.items.values()
        }
        kept = {
            key.removeprefix(RECORD_PREFIX): item for key, item in state.unconfirmed.items.items()
        }
        for fingerprint, item in kept.items():
            if item is not None:
                stored = state.unconfirmed.stored.get(item.key, 0)
                found[fingerprint] = replace(found[fingerprint], revision=stored)
        with self._lock:
            before, loaded, self._loaded = self._records, self._loaded, state.revision
            for fingerprint, cached in before.items():
                if cached.revision > loaded and era_of(cached.revision) < era_of(state.revision):
                    self._lost[fingerprint] = cached
            for fingerprint, cached in self._lost.items():
                stored = found[fingerprint].revision if fingerprint in found else 0
                found[fingerprint] = replace(cached, revision=stored)
            newer = {
                fingerprint: cached
                for fingerprint, cached in before.items()
                if cached.revision > state.revision
            }
            self._records = {**found, **newer}
            self._unwritten = {*kept, *self._lost}
        for fingerprint in set(before) - set(self._records):
            self._on_removed(fingerprint)
        for fingerprint in list(self._unwritten):
            if self._rewrites_lost(fingerprint):
                is_removed = fingerprint in kept and kept[fingerprint] is None
                self.request_change(
                    fingerprint, RecordChange.REMOVE if is_removed else RecordChange.WRITE_AGAIN
                )

    def begin_trial(self, subjects: Collection[CrashSubject], request: RequestSubjects) -> bool:
        """Record the start of a trial of some subjects of a request in one write.

        Returns False if another router changed one of the records first. Raises STORE_UNAVAILABLE
        or OUTCOME_UNKNOWN if the write is not confirmed.
        """
        now = self._clock.now_ms()
        begun = {}
        for subject in subjects:
            cached = self._records.get(subject.fingerprint) or _ABSENT
            runs = self._crashed_runs(subject.fingerprint)
            record = (cached.record or CrashRecord()).begin_trial(
                subject, request.beside(subject), self.session, runs, now, self._policy
            )
            begun[subject.fingerprint] = replace(cached, record=record)
        try:
            self._write(begun)
        except ConditionFailedError as failure:
            for fingerprint in begun:
                self._adopt_stored(fingerprint, failure)
            return False
        return True

    def request_change(self, fingerprint: str, change: RecordChange) -> None:
        """Schedule a change of a record."""
        self._schedule(fingerprint, _PendingChange(change))

    def request_crashed_trial(self, fingerprint: str, ended_run: str) -> None:
        """Schedule the end of a trial that crashed its replica.

        The delay allows for other terminations at the same time to become known.
        """
        due_ms = self._clock.monotonic_ms() + self._policy.mass_crash_window_ms
        self._schedule(
            fingerprint, _PendingChange(RecordChange.END_TRY_WITH_REPLICA, due_ms, ended_run)
        )

    def _schedule(self, fingerprint: str, pending: _PendingChange) -> None:
        with self._lock:
            scheduled = self._changes.get(fingerprint, pending)
            self._changes[fingerprint] = max(pending, scheduled, key=lambda each: each.change)
        self._has_changes.set()

    def _read(self, item: StoreItem) -> _CachedRecord:
        try:
            return _CachedRecord(decode_record(item.value, item.key), item.revision)
        except AspengateError as error:
            self._unreadable.report("crash", item, error)
            return _CachedRecord(None, item.revision)

    def _run(self) -> None:
        while not self._closing.is_set():
            self._has_changes.wait()
            self._has_changes.clear()
            while not self._closing.is_set() and not self.apply_pending_changes():
                self._closing.wait(_RETRY_DELAY_MS / 1_000)

    def apply_pending_changes(self) -> bool:
        """Make the changes that are due; return whether none is left."""
        now = self._clock.monotonic_ms()
        with self._lock:
            requested = self._changes
            self._changes = {key: each for key, each in requested.items() if each.due_ms > now}
        failed = {}
        for fingerprint, pending in requested.items():
            if pending.due_ms > now:
                continue
            try:
                if not self._apply_change(fingerprint, pending):
                    failed[fingerprint] = pending
            except AspengateError as error:
                failed[fingerprint] = pending
                self._counters.count("crashes.not_recorded")
                log_change(
                    "crash.not_recorded",
                    content=fingerprint,
                    wanted=pending.change.name,
                    error=str(error),
                )
            except Exception as error:
                self._counters.count("crashes.not_recorded")
                log_change("crash.record_fault", content=fingerprint, error=repr(error))
        with self._lock:
            self._changes = {**failed, **self._changes}
            return not self._changes

    def _apply_change(self, fingerprint: str, pending: _PendingChange) -> bool:
        """Make a change; return False if another router changed the record first."""
        cached = self._records.get(fingerprint) or _ABSENT
        if pending.change is RecordChange.REMOVE:
            self._store.remove(RECORD_PREFIX + fingerprint)
            with self._lock:
                self._records.pop(fingerprint, None)
            return True
        record = cached.record or CrashRecord()
        changed = self._changed_record(fingerprint, record, pending)
        if changed == record and fingerprint not in self._unwritten:
            return True
        try:
            self._write({fingerprint: replace(cached, record=changed)})
        except ConditionFailedError as failure:
            self._adopt_stored(fingerprint, failure)
            return False
        self._drop_oldest()
        return True

    def _changed_record(
        self, fingerprint: str, record: CrashRecord, pending: _PendingChange
    ) -> CrashRecord:
        """Return the changed record; a trial of another router is left unchanged."""
        if record.trying != self.session or pending.change is RecordChange.WRITE_AGAIN:
            return record
        now = self._clock.now_ms()
        if pending.change is RecordChange.TAKE_BACK_TRY:
            return record.cancel_trial(now, self._policy)
        has_ended = (
            pending.change is RecordChange.END_TRY_WITH_REPLICA
            and self._count_ended_near(pending.ended_run) < self._policy.mass_crash_replicas
        )
        return record.end_trial(
            self._crashed_runs(fingerprint), now, self._policy, has_ended=has_ended
        )

    def _write(self, changed: Mapping[str, _CachedRecord]) -> None:
        """Write records in one transaction, each over its cached revision."""
        conditions, puts = {}, []
        for fingerprint, cached in changed.items():
            key = RECORD_PREFIX + fingerprint
            conditions[key] = cached.revision
            puts.append(Put(key, encode_record(cached.record or CrashRecord())))
        revision = self._store.transact(conditions, tuple(puts))
        written = {key: replace(cached, revision=revision) for key, cached in changed.items()}
        with self._lock:
            self._records = {**self._records, **written}
            for fingerprint in changed:
                self._lost.pop(fingerprint, None)
                self._unwritten.discard(fingerprint)

    def _adopt_stored(self, fingerprint: str, failure: ConditionFailedError) -> None:
        """Cache the record that another router wrote, or remove it if there is none."""
        item = failure.items.get(RECORD_PREFIX + fingerprint)
        cached = self._read(item) if item else None
        with self._lock:
            rest = {each: found for each, found in self._records.items() if each != fingerprint}
            self._records = {**rest, fingerprint: cached} if cached else rest
            self._lost.pop(fingerprint, None)
            self._unwritten.discard(fingerprint)

    def _next_trial_ms(self, fingerprint: str) -> int:
        record = self.get(fingerprint)
        return record.next_try_ms if record else 0

    def _drop_oldest(self) -> None:
        if len(self._records) <= MAX_RECORDS:
            return
        oldest = min(self._records, key=self._next_trial_ms)
        self._counters.count("crashes.dropped")
        log_change("crash.dropped", content=oldest)
        self._store.remove(RECORD_PREFIX + oldest)

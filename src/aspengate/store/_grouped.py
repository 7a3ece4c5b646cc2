"""Groups writes of single items into one store call, since the store charges for each call."""

import threading
from dataclasses import dataclass, field

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._port import ConditionFailedError, KeyValueStore, Put, StoreItem

# Non-urgent writes are collected for at most this time, or until all expected writes have arrived.
# On a slow processor, the writes of one sweep are planned within some tens of ms of each other,
# unless one waits for its witness. With 0.03 s, hardly any writes were grouped.
_GROUP_WINDOW_S = 0.25
# The platform accepts 32 entries per call, and each write takes two: a condition and a value.
_MAX_GROUP_SIZE = 15


@dataclass(eq=False)
class _Write:
    """A pending write of one item, made only if the item is still at revision ``condition``.

    When ``done``, it holds either the new ``revision`` or the ``error``.
    """

    put: Put
    condition: int
    urgent: bool
    done: bool = False
    revision: int = 0
    error: AspengateError | None = field(default=None)

    def complete(self, *, revision: int = 0, error: AspengateError | None = None) -> None:
        self.revision = revision
        self.error = error
        self.done = True


class GroupedWrites:
    """Groups writes that arrive at about the same time into one call.

    Each write succeeds or fails as if it had been made alone. ``expect`` announces writes to wait
    for, and ``finish_expected`` reports that one of them has finished. An urgent write is made
    without waiting, together with the writes collected so far. All methods are thread-safe.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._pending: list[_Write] = []
        self._expected = 0
        self._is_collecting = False
        self._flush_requested = False
        self._changed = threading.Condition()

    def expect(self, count: int) -> None:
        """Announce ``count`` further writes."""
        with self._changed:
            self._expected += count

    def finish_expected(self) -> None:
        """Record that one expected write has finished or will not be made."""
        with self._changed:
            self._expected -= 1
            self._changed.notify_all()

    def flush(self) -> None:
        """Write the collected group now, since a request is waiting for one of the accounts."""
        with self._changed:
            self._flush_requested = True
            self._changed.notify_all()

    def write(self, put: Put, condition: int, *, urgent: bool) -> int:
        """Write an item if it is still at revision ``condition``; return its new revision.

        Blocks until the group is written. Raises ConditionFailedError or AspengateError as
        ``KeyValueStore.transact`` does.
        """
        write = _Write(put, condition, urgent)
        with self._changed:
            self._pending.append(write)
            self._changed.notify_all()
            while self._is_collecting and write in self._pending:
                self._changed.wait()
            group = self._collect_group() if write in self._pending else []
        if group:
            try:
                self._write_group(group)
            finally:
                self._complete_group(group)
        with self._changed:
            while not write.done:
                self._changed.wait()
        if write.error is not None:
            raise write.error
        return write.revision

    def _collect_group(self) -> list[_Write]:
        """Wait for further writes and return the group to write; the lock is held."""
        self._is_collecting = True
        self._flush_requested = False
        self._changed.wait_for(self._is_group_ready, _GROUP_WINDOW_S)
        self._is_collecting = False
        group = self._pending[:_MAX_GROUP_SIZE]
        self._pending = self._pending[_MAX_GROUP_SIZE:]
        self._changed.notify_all()
        return group

    def _is_group_ready(self) -> bool:
        urgent = any(write.urgent for write in self._pending)
        return (
            urgent
            or self._flush_requested
            or len(self._pending) >= min(self._expected, _MAX_GROUP_SIZE)
        )

    def _complete_group(self, group: list[_Write]) -> None:
        """Wake the waiting writers; writes left undone by an unexpected exception fail."""
        for write in group:
            if not write.done:
                write.complete(
                    error=AspengateError(ErrorKind.OUTCOME_UNKNOWN, "unexpected error in the call")
                )
        with self._changed:
            self._changed.notify_all()

    def _write_group(self, group: list[_Write]) -> None:
        """Make the writes in one call, and retry without those whose condition failed."""
        while group:
            conditions = {write.put.key: write.condition for write in group}
            try:
                revision = self._store.transact(conditions, tuple(w.put for w in group))
            except ConditionFailedError as failure:
                group = _without_failed(group, failure)
                continue
            except AspengateError as error:
                for write in group:
                    write.complete(error=error)
                return
            for write in group:
                write.complete(revision=revision)
            return


def _without_failed(group: list[_Write], failure: ConditionFailedError) -> list[_Write]:
    """Fail the writes whose condition does not hold, and return the others.

    A group of one write always fails. If no condition is found to have failed, all writes fail.
    """
    remaining = []
    for write in group:
        item: StoreItem | None = failure.items.get(write.put.key)
        is_current = (item.revision if item else 0) == write.condition
        if is_current and len(group) > 1:
            remaining.append(write)
        else:
            present = {item.key: item} if item else {}
            write.complete(error=ConditionFailedError(present))
    if len(remaining) == len(group):
        for write in remaining:
            write.complete(error=failure)
        return []
    return remaining

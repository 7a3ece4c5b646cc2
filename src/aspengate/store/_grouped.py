"""Writes of single items that are made together, since the store counts each call."""

import threading
from dataclasses import dataclass, field

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._port import ConditionFailedError, KeyValueStore, Put, StoreItem

# Writes that can wait are gathered for so long, in s, or until as many have come as are expected:
# those of one sweep are planned within some tens of ms of each other on a slow processor, unless
# one waits for its witness. With 0.03 s hardly any came together (68 routers, 1 play).
_GATHER_S = 0.25
# The platform takes 32 entries in a call, and each write has a condition and a value.
_MOST_TOGETHER = 15


@dataclass(eq=False)
class _Write:
    """One item to write where it is still at ``condition``; ``error`` or ``revision`` ends it."""

    put: Put
    condition: int
    urgent: bool
    done: bool = False
    revision: int = 0
    error: AspengateError | None = field(default=None)

    def end(self, *, revision: int = 0, error: AspengateError | None = None) -> None:
        self.revision = revision
        self.error = error
        self.done = True


class GroupedWrites:
    """Makes writes that come at about the same time in one call; each ends as if it were alone.

    ``expect`` tells how many are on their way, and ``arrived`` that one of these is over.
    An urgent write waits for nothing; it takes along those that wait.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self._waiting: list[_Write] = []
        self._expected = 0
        self._gathering = False
        self._hurried = False
        self._changed = threading.Condition()

    def expect(self, count: int) -> None:
        """Note that so many further writes may come."""
        with self._changed:
            self._expected += count

    def finish_expected(self) -> None:
        """Note that one of the expected writes is over, or will not come."""
        with self._changed:
            self._expected -= 1
            self._changed.notify_all()

    def flush(self) -> None:
        """Make what has come by now, since a request waits for one of the accounts."""
        with self._changed:
            self._hurried = True
            self._changed.notify_all()

    def write(self, put: Put, condition: int, *, urgent: bool) -> int:
        """Write an item that is still at revision ``condition``; return its new revision.

        Raises ConditionFailedError or AspengateError as ``KeyValueStore.transact`` does.
        """
        write = _Write(put, condition, urgent)
        with self._changed:
            self._waiting.append(write)
            self._changed.notify_all()
            while self._gathering and write in self._waiting:
                self._changed.wait()
            together = self._gather() if write in self._waiting else []
        if together:
            try:
                self._make(together)
            finally:
                self._end_all(together)
        with self._changed:
            while not write.done:
                self._changed.wait()
        if write.error is not None:
            raise write.error
        return write.revision

    def _gather(self) -> list[_Write]:
        """Wait for others and return what is to be written; call it with the lock held."""
        self._gathering = True
        self._hurried = False
        self._changed.wait_for(self._is_complete, _GATHER_S)
        self._gathering = False
        together = self._waiting[:_MOST_TOGETHER]
        self._waiting = self._waiting[_MOST_TOGETHER:]
        self._changed.notify_all()
        return together

    def _is_complete(self) -> bool:
        urgent = any(write.urgent for write in self._waiting)
        return urgent or self._hurried or len(self._waiting) >= min(self._expected, _MOST_TOGETHER)

    def _end_all(self, together: list[_Write]) -> None:
        """Wake up those who wait; a fault in the call ends their writes, done or not."""
        for write in together:
            if not write.done:
                write.end(error=AspengateError(ErrorKind.OUTCOME_UNKNOWN, "a fault in the call"))
        with self._changed:
            self._changed.notify_all()

    def _make(self, together: list[_Write]) -> None:
        """Make the writes in one call, and again without those whose condition failed."""
        while together:
            conditions = {write.put.key: write.condition for write in together}
            try:
                revision = self._store.transact(conditions, tuple(w.put for w in together))
            except ConditionFailedError as failure:
                together = _without_failed(together, failure)
                continue
            except AspengateError as error:
                for write in together:
                    write.end(error=error)
                return
            for write in together:
                write.end(revision=revision)
            return


def _without_failed(together: list[_Write], failure: ConditionFailedError) -> list[_Write]:
    """End the writes whose condition failed and return the others; one alone has failed."""
    left = []
    for write in together:
        item: StoreItem | None = failure.items.get(write.put.key)
        is_current = (item.revision if item else 0) == write.condition
        if is_current and len(together) > 1:
            left.append(write)
        else:
            present = {item.key: item} if item else {}
            write.end(error=ConditionFailedError(present))
    if len(left) == len(together):
        for write in left:
            write.end(error=failure)
        return []
    return left

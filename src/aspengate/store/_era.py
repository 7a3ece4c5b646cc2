"""Which history of itself a store names, and which revisions belong to it."""

import threading
from collections.abc import Callable, Iterable

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._revision import era_of
from aspengate.telemetry import log_change

# What a line tells of a history that can't be read, in characters.
_MOST_TOLD = 100


class HistoryLostError(AspengateError):
    """The store no longer knows the changes since a revision; list the items again."""

    def __init__(self, prefix: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, "history is gone", where=prefix)


class StoreEra:
    """The highest history, ``current``, that was heard of; 0 where the store names none to be read.

    ``on_rise`` is called with the one before where it rises, None where none was heard of yet, on
    the thread that heard of it.
    """

    def __init__(self) -> None:
        self.current = 0
        self.on_increase: Callable[[int | None], None] = lambda _: None
        self._is_heard = False
        self._is_unreadable_told = False
        self._lock = threading.Lock()

    def record(self, era: int) -> None:
        """Note a history that was heard of."""
        with self._lock:
            before = self.current if self._is_heard else None
            self._is_heard = True
            self.current = max(era, self.current)
        if before is None or era > before:
            self.on_increase(before)

    def log_unreadable(self, named: str) -> None:
        """Tell once that the store names a history that can't be read."""
        if not self._is_unreadable_told:
            self._is_unreadable_told = True
            log_change("store.era_unreadable", era=named[:_MOST_TOLD])

    def check_watch(self, prefix: str, since: int) -> None:
        """Raise HistoryLostError where a watch would go on from an earlier history."""
        if era_of(since) < self.current:
            raise HistoryLostError(prefix)

    def check_conditions(self, revisions: Iterable[int]) -> None:
        """Raise STORE_UNAVAILABLE where a condition is of an earlier history."""
        if any(revision and era_of(revision) < self.current for revision in revisions):
            message = "a condition is of before the store came back from a copy"
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, message)


def check_write_era(revisions: Iterable[int], era: int) -> None:
    """Raise OUTCOME_UNKNOWN where a write was done in another history than its conditions are of.

    The same number may stand for another value there.
    """
    if any(revision and era_of(revision) != era for revision in revisions):
        message = "done after the store came back from a copy"
        raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, message)

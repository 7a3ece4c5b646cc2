"""Tracks the era of the store, and checks that revisions belong to it.

An era is one history of the store; see ``_revision``.
"""

import threading
from collections.abc import Callable, Iterable

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._revision import era_of
from aspengate.telemetry import log_change

_MAX_LOGGED_CHARS = 100


class HistoryLostError(AspengateError):
    """Raised when the store no longer has the changes since a revision; list the items again."""

    def __init__(self, prefix: str) -> None:
        super().__init__(
            ErrorKind.STORE_UNAVAILABLE,
            "changes since the requested revision are lost",
            where=prefix,
        )


class StoreEra:
    """Holds the highest era seen in the store's answers or reported by peers.

    ``current`` is that era; 0 if the store names no era or an unreadable one. ``on_increase`` is
    called when it increases, on the thread that recorded the era, with the previous era, or with
    None for the first era recorded.
    """

    def __init__(self) -> None:
        self.current = 0
        self.on_increase: Callable[[int | None], None] = lambda _: None
        self._is_recorded = False
        self._is_unreadable_logged = False
        self._lock = threading.Lock()

    def record(self, era: int) -> None:
        """Record an era; a lower one than ``current`` has no effect."""
        with self._lock:
            before = self.current if self._is_recorded else None
            self._is_recorded = True
            self.current = max(era, self.current)
        if before is None or era > before:
            self.on_increase(before)

    def log_unreadable(self, named: str) -> None:
        """Log, only the first time, that the store names an era that cannot be parsed."""
        if not self._is_unreadable_logged:
            self._is_unreadable_logged = True
            log_change("store.era_unreadable", era=named[:_MAX_LOGGED_CHARS])

    def check_watch(self, prefix: str, since: int) -> None:
        """Raise HistoryLostError if ``since`` is a revision of an earlier era."""
        if era_of(since) < self.current:
            raise HistoryLostError(prefix)

    def check_conditions(self, revisions: Iterable[int]) -> None:
        """Raise STORE_UNAVAILABLE if any revision is of an earlier era; 0 means an absent key."""
        if any(revision and era_of(revision) < self.current for revision in revisions):
            message = "condition is from before the store was restored from a copy"
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, message)


def check_write_era(revisions: Iterable[int], era: int) -> None:
    """Raise OUTCOME_UNKNOWN if a write was made in another era than its conditions.

    In that era the same revision number may belong to another value.
    """
    if any(revision and era_of(revision) != era for revision in revisions):
        message = "write was made after the store was restored from a copy"
        raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, message)

"""The interface of a key-value store and the values that it exchanges."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._era import StoreEra


@dataclass(frozen=True)
class StoreItem:
    """A key with its value; ``revision`` is that of its last change (see ``make_revision``)."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Snapshot:
    """Holds all items below a prefix, including every change up to ``revision``.

    ``changed_revision`` is the revision of the newest change below the prefix, or 0 if unknown.
    """

    items: tuple[StoreItem, ...]
    revision: int
    changed_revision: int = 0


@dataclass(frozen=True)
class Removal:
    """A key that was removed at ``revision``."""

    key: str
    revision: int


@dataclass(frozen=True)
class Changes:
    """Holds the changes below a prefix up to ``revision``: items written and keys removed."""

    written: tuple[StoreItem, ...]
    removed: tuple[Removal, ...]
    revision: int


@dataclass(frozen=True)
class Put:
    """A value to write under a key."""

    key: str
    value: bytes


class ConditionFailedError(AspengateError):
    """Raised when a transaction's condition fails; ``items`` holds the current items by key."""

    def __init__(self, items: Mapping[str, StoreItem]) -> None:
        super().__init__(ErrorKind.CONFLICT, "another write came first")
        self.items = items


class KeyValueStore(Protocol):
    """A store with revisions, prefix watches and conditional writes.

    Every call may raise AspengateError of kind STORE_UNAVAILABLE, which guarantees that nothing
    was changed. ``last_answer_ms`` is the time of the last successful call, in monotonic
    milliseconds. ``calls`` counts the calls made, by kind.

    The store may be restored from an older copy of its data; ``era`` holds which history it names.
    A revision contains its era, and a call with a revision of an earlier era fails without being
    sent.
    """

    last_answer_ms: float
    calls: Counter[str]
    era: StoreEra

    def get(self, key: str) -> StoreItem | None:
        """Return the item under ``key``, or None; the read is linearizable."""

    def probe(self) -> None:
        """Make the cheapest possible call; raises STORE_UNAVAILABLE if it is not answered."""

    def abort_watches(self) -> None:
        """Make waiting calls of ``changes`` fail, so that their callers retry them."""

    def list_items(self, prefix: str) -> Snapshot:
        """Return the items whose keys begin with ``prefix``."""

    def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``since``.

        Raises HistoryLostError if they are no longer available, or ``since`` is of another era.
        """

    def transact(self, conditions: Mapping[str, int], puts: tuple[Put, ...]) -> int:
        """Write all ``puts`` if each key in ``conditions`` is still at its revision.

        A revision of 0 means that the key is absent. Returns the new revision. Raises
        ConditionFailedError, or OUTCOME_UNKNOWN if the write may have been made or may still be
        made while its conditions hold; in a later era they may hold by coincidence.
        """

    def remove(self, key: str) -> None:
        """Remove ``key`` if it exists."""

"""What the product asks of a key-value store, and the values that cross this border."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from aspengate.errors import AspengateError, ErrorKind
from aspengate.store._era import StoreEra


@dataclass(frozen=True)
class StoreItem:
    """One key with its value, as of ``revision``, that of its last change (``make_revision``)."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Snapshot:
    """All items below a prefix. Every change up to ``revision`` is in it.

    ``changed`` is the revision of the newest change below the prefix, where that is known.
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
    """What has changed below a prefix up to ``revision``: items written and keys removed."""

    written: tuple[StoreItem, ...]
    removed: tuple[Removal, ...]
    revision: int


@dataclass(frozen=True)
class Put:
    """A value to write under a key."""

    key: str
    value: bytes


class ConditionFailedError(AspengateError):
    """A transaction's condition did not hold; ``items`` are the present values by key."""

    def __init__(self, items: Mapping[str, StoreItem]) -> None:
        super().__init__(ErrorKind.CONFLICT, "another write came first")
        self.items = items


class KeyValueStore(Protocol):
    """A store with revisions, prefix watches and conditional writes.

    Every call may raise AspengateError of kind STORE_UNAVAILABLE, which promises that nothing
    was done. ``last_answer_ms`` is when the store last did what it was asked, in monotonic
    milliseconds. ``calls`` counts the calls made, by what they do.

    A store may come back from an older copy of itself: ``era`` tells which history it names.
    Revisions hold theirs, and a call with one of an earlier history fails without being made.
    """

    last_answer_ms: float
    calls: Counter[str]
    era: StoreEra

    def get(self, key: str) -> StoreItem | None:
        """Return the item under ``key``, if any; the read is linearizable."""

    def probe(self) -> None:
        """Ask for the cheapest answer there is; raises STORE_UNAVAILABLE where none comes."""

    def abort_watches(self) -> None:
        """Have the calls of ``changes`` that wait fail, so that they are made anew."""

    def list_items(self, prefix: str) -> Snapshot:
        """Return the items whose keys begin with ``prefix``."""

    def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``since``.

        Raises HistoryLostError where they are no longer known, or ``since`` is of another history.
        """

    def transact(self, conditions: Mapping[str, int], puts: tuple[Put, ...]) -> int:
        """Write all ``puts`` if each key in ``conditions`` is still at its revision.

        A revision of 0 means that the key is absent. Return the new revision. Raises
        ConditionFailedError, or OUTCOME_UNKNOWN where the write may have been done, or may
        still be done while its conditions hold: in a later history they may hold by chance.
        """

    def remove(self, key: str) -> None:
        """Remove ``key`` where it is there."""

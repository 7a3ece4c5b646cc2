"""Keeps known items that a store restored from an older copy has lost or holds differently."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from aspengate.store._port import Changes, StoreItem

# Returns a sort key that increases with each write of an item by its writer; None if unavailable.
WriterOrder = Callable[[StoreItem], tuple[int, ...] | None]


def no_order(_: StoreItem) -> tuple[int, ...] | None:
    """Return None: the order of the writes is unknown."""
    return None


@dataclass(frozen=True)
class UnconfirmedItems:
    """Holds items by key as they were known before the store was restored; None if removed.

    Until its writer writes an item again, the restored copy's version is older than the known one.
    The store does not distinguish copied items from those written since the restore, except those
    written after ``baseline``, the revision of the first read. ``stored`` holds the revisions of
    the items that the store had at that read. After ``expires_ms``, in monotonic milliseconds,
    the stored items apply; those that were not written again by then are considered removed.
    """

    items: Mapping[str, StoreItem | None] = field(default_factory=dict)
    stored: Mapping[str, int] = field(default_factory=dict)
    baseline: int = 0
    expires_ms: float = 0.0

    @classmethod
    def reconcile(
        cls,
        known: Mapping[str, StoreItem],
        removed: Collection[str],
        stored: Mapping[str, StoreItem],
        baseline: int,
        expires_ms: float,
        order: WriterOrder = no_order,
    ) -> "UnconfirmedItems":
        """Return the ``known`` items and ``removed`` keys that ``stored`` does not confirm."""
        items: dict[str, StoreItem | None] = {
            key: item
            for key, item in known.items()
            if not _is_superseded(item, stored.get(key), order)
        }
        items.update({key: None for key in removed if key in stored and key not in known})
        revisions = {key: item.revision for key, item in stored.items()}
        return cls(items, revisions, baseline, expires_ms)

    def overlay(self, stored: Mapping[str, StoreItem]) -> dict[str, StoreItem]:
        """Return the stored items, with the unconfirmed ones replaced or removed."""
        items = {key: item for key, item in stored.items() if key not in self.items}
        items.update({key: item for key, item in self.items.items() if item is not None})
        return items

    def after_changes(self, changes: Changes) -> "UnconfirmedItems":
        """Return the items that are still unconfirmed after changes in the new era."""
        changed = {each.key for each in changes.written if each.revision > self.baseline}
        changed |= {each.key for each in changes.removed if each.revision > self.baseline}
        return self._without(changed)

    def after_snapshot(self, stored: Mapping[str, StoreItem]) -> "UnconfirmedItems":
        """Return the items that are still unconfirmed after a later snapshot of the new era."""
        written = {key for key, item in stored.items() if item.revision > self.baseline}
        return self._without(written | (set(self.stored) - set(stored)))

    def _without(self, keys: Collection[str]) -> "UnconfirmedItems":
        if not any(key in self.items for key in keys):
            return self
        items = {key: item for key, item in self.items.items() if key not in keys}
        return UnconfirmedItems(items, self.stored, self.baseline, self.expires_ms)


def _is_superseded(known: StoreItem, stored: StoreItem | None, order: WriterOrder) -> bool:
    """Return whether the stored item equals the known one or was written later."""
    if stored is None:
        return False
    if stored.value == known.value:
        return True
    known_order, stored_order = order(known), order(stored)
    if known_order is None or stored_order is None:
        return False
    return stored_order > known_order

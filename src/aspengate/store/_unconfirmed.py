"""What is known of items that a store which came back from an older copy holds otherwise."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from aspengate.store._port import Changes, StoreItem

# Returns how a writer orders what it writes under one key, None where it does not.
WriterOrder = Callable[[StoreItem], tuple[int, ...] | None]


def no_order(_: StoreItem) -> tuple[int, ...] | None:
    """Return that nothing is known of the order in which a writer wrote."""
    return None


@dataclass(frozen=True)
class UnconfirmedItems:
    """Items by key as they were known before the store came back, None for a removed one.

    Until its writer has written an item again, the copy's one is older. The store does not tell
    copied items from those written since, but for what is later than ``baseline``, the revision at
    which it was first read. ``stored`` are the revisions of the items that it held then. After
    ``until_ms``, in monotonic milliseconds, what has not been written again is taken for gone.
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
        until_ms: float,
        order: WriterOrder = no_order,
    ) -> "UnconfirmedItems":
        """Return what of ``known`` and ``removed`` is to be kept against what is stored."""
        items: dict[str, StoreItem | None] = {
            key: item
            for key, item in known.items()
            if not _is_superseded(item, stored.get(key), order)
        }
        items.update({key: None for key in removed if key in stored and key not in known})
        revisions = {key: item.revision for key, item in stored.items()}
        return cls(items, revisions, baseline, until_ms)

    def overlay(self, stored: Mapping[str, StoreItem]) -> dict[str, StoreItem]:
        """Return the items that hold: those kept, and of the others what is stored."""
        items = {key: item for key, item in stored.items() if key not in self.items}
        items.update({key: item for key, item in self.items.items() if item is not None})
        return items

    def after_changes(self, changes: Changes) -> "UnconfirmedItems":
        """Return what is still to be kept after changes in the new history."""
        changed = {each.key for each in changes.written if each.revision > self.baseline}
        changed |= {each.key for each in changes.removed if each.revision > self.baseline}
        return self._without(changed)

    def after_snapshot(self, stored: Mapping[str, StoreItem]) -> "UnconfirmedItems":
        """Return what is still to be kept beside a later state of the new history."""
        written = {key for key, item in stored.items() if item.revision > self.baseline}
        return self._without(written | (set(self.stored) - set(stored)))

    def _without(self, keys: Collection[str]) -> "UnconfirmedItems":
        if not any(key in self.items for key in keys):
            return self
        items = {key: item for key, item in self.items.items() if key not in keys}
        return UnconfirmedItems(items, self.stored, self.baseline, self.expires_ms)


def _is_superseded(known: StoreItem, stored: StoreItem | None, order: WriterOrder) -> bool:
    """Return whether what is stored under a key is what is known of it, or newer."""
    if stored is None:
        return False
    if stored.value == known.value:
        return True
    known_order, stored_order = order(known), order(stored)
    if known_order is None or stored_order is None:
        return False
    return stored_order > known_order

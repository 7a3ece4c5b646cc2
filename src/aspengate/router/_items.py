"""The archive of invoice lines: full pages of a shard's items, in keys of their own."""

import uuid

import msgspec

from aspengate.adapters import Store, StoreDocument
from aspengate.budgets import ITEMS_PER_PAGE, ArchiveItems, BilledItem, Shard, apply_commands


class ItemPage(msgspec.Struct, frozen=True):
    """One full page of items; it is written once and never changes."""

    items: tuple[BilledItem, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the page is written, by whomever: its content is always the same."""
        return bool(self.items)


def page_document(store: Store, shard: int, page: int) -> StoreDocument[ItemPage]:
    """Return the document of one page of a shard's archive."""
    key = f"aspengate/items/{shard}/{page}"
    return StoreDocument(store, key, ItemPage(), ItemPage.has_applied)


def archive_full_page(
    store: Store, number: int, document: StoreDocument[Shard], shard: Shard
) -> bool:
    """Move a shard's oldest items into a page if there are enough; return whether there were.

    Items are only ever added behind and removed here, so whoever writes page N of a shard writes
    the same; breaking off after the page leaves the items in both places, and the next call ends
    it. Raises AspengateError where the store does not answer.
    """
    if len(shard.items) < ITEMS_PER_PAGE:
        return False
    page, items = shard.item_pages, shard.items[:ITEMS_PER_PAGE]
    page_document(store, number, page).update("page", lambda _: ItemPage(items))
    operation_id = uuid.uuid4().hex
    command = ArchiveItems(page, ITEMS_PER_PAGE)
    document.update(operation_id, lambda now: apply_commands(now, operation_id, [command]))
    return True


def archived_items(store: Store, number: int, shard: Shard) -> tuple[BilledItem, ...]:
    """Return all archived items of a shard, the oldest first."""
    return tuple(
        item
        for page in range(shard.item_pages)
        for item in page_document(store, number, page).read().value.items
    )

"""The list of fenced sessions in the store, which each new agent reads before it works."""

import msgspec

from aspengate.adapters import Store, StoreDocument

FENCES_KEY = "aspengate/fences"
_OPERATIONS_KEPT = 64


class FencedSession(msgspec.Struct, frozen=True, array_like=True):
    """A session whose money, dispatches and claims no agent honours any more.

    After ``certain_ms`` everything that it gave out has lapsed by itself.
    """

    session: str
    fenced_ms: int
    certain_ms: int


class FenceDocument(msgspec.Struct, frozen=True, array_like=True):
    """All sessions that are fenced and could still do harm."""

    fenced: tuple[FencedSession, ...] = ()
    operations: tuple[str, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the write with this id took effect."""
        return operation_id in self.operations

    def with_fence(self, operation_id: str, fence: FencedSession, now_ms: int) -> "FenceDocument":
        """Return the list with one more fence, and without those that have lapsed."""
        kept = tuple(
            each
            for each in self.fenced
            if each.certain_ms > now_ms and each.session != fence.session
        )
        known = next((each for each in self.fenced if each.session == fence.session), fence)
        operations = (*self.operations, operation_id)[-_OPERATIONS_KEPT:]
        return FenceDocument((*kept, known), operations)


def fences_document(store: Store) -> StoreDocument[FenceDocument]:
    """Return the document of fences in a store."""
    return StoreDocument(store, FENCES_KEY, FenceDocument(), FenceDocument.has_applied)

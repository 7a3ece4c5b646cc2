"""The list of fenced sessions in the store, which each new agent reads before it starts work."""

import msgspec

from aspengate.adapters import Store, StoreDocument

FENCES_KEY = "aspengate/fences"
_MAX_OPERATIONS = 64


class FencedSession(msgspec.Struct, frozen=True, array_like=True):
    """A fenced session: agents reject its money, dispatches and claims from now on.

    After ``certain_ms``, everything that the session gave out has expired by itself.
    """

    session: str
    fenced_ms: int
    certain_ms: int


class FenceDocument(msgspec.Struct, frozen=True, array_like=True):
    """The fenced sessions that have not expired yet, and the ids of the last writes."""

    fenced: tuple[FencedSession, ...] = ()
    operations: tuple[str, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the write with this id has been applied."""
        return operation_id in self.operations

    def with_fence(self, operation_id: str, fence: FencedSession, now_ms: int) -> "FenceDocument":
        """Return the document with ``fence`` added and expired fences removed.

        If the session is fenced already, its existing fence is kept.
        """
        kept = tuple(
            each
            for each in self.fenced
            if each.certain_ms > now_ms and each.session != fence.session
        )
        known = next((each for each in self.fenced if each.session == fence.session), fence)
        operations = (*self.operations, operation_id)[-_MAX_OPERATIONS:]
        return FenceDocument((*kept, known), operations)


def fences_document(store: Store) -> StoreDocument[FenceDocument]:
    """Return access to the fences document in a store."""
    return StoreDocument(store, FENCES_KEY, FenceDocument(), FenceDocument.has_applied)

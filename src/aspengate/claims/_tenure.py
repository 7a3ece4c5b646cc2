"""The document that says who owns a claim shard."""

import msgspec

from aspengate.errors import AspengateError, ErrorKind

_OPERATIONS_KEPT = 16


class ClaimTenure(msgspec.Struct, frozen=True, array_like=True):
    """The owner of one claim shard; ``epoch`` grows with each change of owner.

    The owner decides until ``valid_until_ms`` by its own clock, less the clock error.
    """

    epoch: int = 0
    owner: str = ""
    address: str = ""
    started_ms: int = 0
    valid_until_ms: int = 0
    operations: tuple[str, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the write with this id took effect."""
        return operation_id in self.operations


def acquire_tenure(
    tenure: ClaimTenure,
    operation_id: str,
    *,
    session: str,
    address: str,
    now_ms: int,
    lease_ms: int,
    clock_error_ms: int,
    fenced: frozenset[str] = frozenset(),
) -> ClaimTenure:
    """Return the document after ``session`` has taken or renewed the shard.

    Another owner's tenure is taken only once it has run out, or once its session is fenced at
    every agent. Raises AspengateError of kind CONFLICT otherwise.
    """
    operations = (*tenure.operations, operation_id)[-_OPERATIONS_KEPT:]
    if tenure.owner == session:
        return msgspec.structs.replace(
            tenure,
            valid_until_ms=max(tenure.valid_until_ms, now_ms + lease_ms),
            operations=operations,
        )
    over = now_ms > tenure.valid_until_ms + clock_error_ms
    if tenure.owner and not over and tenure.owner not in fenced:
        raise AspengateError(ErrorKind.CONFLICT, f"is owned by {tenure.owner}", where="claim shard")
    return ClaimTenure(
        epoch=tenure.epoch + 1,
        owner=session,
        address=address,
        started_ms=now_ms,
        valid_until_ms=now_ms + lease_ms,
        operations=operations,
    )

"""The stored document that names the owner of a claim shard."""

import msgspec

from aspengate.errors import AspengateError, ErrorKind

_MAX_OPERATIONS = 16


class ClaimTenure(msgspec.Struct, frozen=True, array_like=True):
    """Holds the owner of one claim shard and the time until which it may decide.

    ``epoch`` increases by 1 with each change of owner. The owner decides until
    ``valid_until_ms`` by its own clock, less the clock error. ``operations`` holds the ids of
    the latest writes.
    """

    epoch: int = 0
    owner: str = ""
    address: str = ""
    started_ms: int = 0
    valid_until_ms: int = 0
    operations: tuple[str, ...] = ()

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the write with this id is among the latest ones of the document."""
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
    """Return the document after ``session`` has acquired the shard or renewed its tenure.

    The shard of another owner can be acquired only after that owner's tenure has expired, or
    after every agent has fenced its session (``fenced``). Raises AspengateError of kind
    CONFLICT otherwise.
    """
    operations = (*tenure.operations, operation_id)[-_MAX_OPERATIONS:]
    if tenure.owner == session:
        return msgspec.structs.replace(
            tenure,
            valid_until_ms=max(tenure.valid_until_ms, now_ms + lease_ms),
            operations=operations,
        )
    expired = now_ms > tenure.valid_until_ms + clock_error_ms
    if tenure.owner and not expired and tenure.owner not in fenced:
        raise AspengateError(ErrorKind.CONFLICT, f"is owned by {tenure.owner}", where="claim shard")
    return ClaimTenure(
        epoch=tenure.epoch + 1,
        owner=session,
        address=address,
        started_ms=now_ms,
        valid_until_ms=now_ms + lease_ms,
        operations=operations,
    )

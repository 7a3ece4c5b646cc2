"""Encodes and decodes the stored form of a budget shard.

Each name is stored once, in a table; other fields refer to it by its index.
"""

import msgspec

from aspengate.budgets._shard import (
    Account,
    BilledItem,
    Budget,
    ClosedBlocks,
    LimitChange,
    Session,
    Shard,
)
from aspengate.errors import AspengateError, ErrorKind


class _StoredAccount(msgspec.Struct, frozen=True, array_like=True):
    holder: int
    granted: int
    returned: int
    bills: dict[int, int]


class _StoredBudget(msgspec.Struct, frozen=True, array_like=True):
    name: str
    limit: int
    closed_bills: dict[int, int]
    accounts: tuple[_StoredAccount, ...]
    revision: int
    dropped: bool


class _StoredSession(msgspec.Struct, frozen=True, array_like=True):
    name: int
    region: int
    address: int
    honour_until_ms: int
    settled: dict[int, ClosedBlocks]


class _StoredShard(msgspec.Struct, frozen=True, array_like=True):
    names: tuple[str, ...]
    budgets: tuple[_StoredBudget, ...]
    sessions: tuple[_StoredSession, ...]
    items: tuple[BilledItem, ...]
    changes: tuple[LimitChange, ...]
    operations: tuple[bytes, ...]
    item_pages: int


class _Names:
    """Assigns indexes to names, in the order of their first use."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def number(self, name: str) -> int:
        return self.numbers.setdefault(name, len(self.numbers))

    def bills(self, bills: dict[str, int]) -> dict[int, int]:
        return {self.number(line): credits for line, credits in bills.items()}


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StoredShard)


def encode_shard(shard: Shard) -> bytes:
    """Return the stored form of a shard."""
    names = _Names()
    budgets = tuple(_store_budget(name, each, names) for name, each in shard.budgets.items())
    sessions = tuple(_store_session(name, each, names) for name, each in shard.sessions.items())
    stored = _StoredShard(
        names=tuple(names.numbers),
        budgets=budgets,
        sessions=sessions,
        items=shard.items,
        changes=shard.changes,
        operations=tuple(operation.encode() for operation in shard.operations),
        item_pages=shard.item_pages,
    )
    return _ENCODER.encode(stored)


def decode_shard(data: bytes) -> Shard:
    """Return the shard that ``data`` encodes.

    Raises AspengateError of kind INTERNAL if ``data`` is not a valid stored shard.
    """
    try:
        stored = _DECODER.decode(data)
        return Shard(
            budgets={each.name: _load_budget(each, stored.names) for each in stored.budgets},
            sessions={
                stored.names[each.name]: _load_session(each, stored.names)
                for each in stored.sessions
            },
            items=stored.items,
            changes=stored.changes,
            operations=tuple(operation.decode() for operation in stored.operations),
            item_pages=stored.item_pages,
        )
    except (msgspec.MsgspecError, IndexError, UnicodeDecodeError) as error:
        raise AspengateError(ErrorKind.INTERNAL, str(error), where="budget shard") from error


def _store_budget(name: str, budget: Budget, names: _Names) -> _StoredBudget:
    accounts = tuple(
        _StoredAccount(
            names.number(holder), account.granted, account.returned, names.bills(account.bills)
        )
        for holder, account in budget.accounts.items()
    )
    return _StoredBudget(
        name,
        budget.limit,
        names.bills(budget.closed_bills),
        accounts,
        budget.revision,
        budget.dropped,
    )


def _store_session(name: str, session: Session, names: _Names) -> _StoredSession:
    return _StoredSession(
        names.number(name),
        names.number(session.region),
        names.number(session.address),
        session.honour_until_ms,
        {names.number(router): closed for router, closed in session.settled.items()},
    )


def _load_budget(stored: _StoredBudget, names: tuple[str, ...]) -> Budget:
    accounts = {
        names[each.holder]: Account(each.granted, each.returned, _load_bills(each.bills, names))
        for each in stored.accounts
    }
    return Budget(
        stored.limit,
        _load_bills(stored.closed_bills, names),
        accounts,
        stored.revision,
        stored.dropped,
    )


def _load_session(stored: _StoredSession, names: tuple[str, ...]) -> Session:
    return Session(
        names[stored.region],
        names[stored.address],
        stored.honour_until_ms,
        {names[router]: closed for router, closed in stored.settled.items()},
    )


def _load_bills(bills: dict[int, int], names: tuple[str, ...]) -> dict[str, int]:
    return {names[line]: credits for line, credits in bills.items()}

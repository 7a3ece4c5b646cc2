"""Defines the document of one budget shard and its allowed transitions.

All amounts are integer credits. For each budget and steward session the document holds the
totals that the session was granted, returned and billed. Every transition keeps the invariant
``Budget.committed <= Budget.limit``, unless an operator lowers a limit below what is already
granted. The whole shard is one value in the store and is checked in one write, so a region that
is partitioned, or a steward that is paused, spends only what it already holds.
"""

import functools
from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from aspengate.errors import AspengateError, ErrorKind

_OPERATIONS_KEPT = 64


class Account(msgspec.Struct, frozen=True, array_like=True):
    """Holds one session's money of one budget, as running totals that never decrease.

    ``bills`` maps ``client_account|service`` to the credits spent.
    """

    granted: int = 0
    returned: int = 0
    bills: dict[str, int] = {}

    @property
    def spent(self) -> int:
        """The credits billed to this account."""
        return sum(self.bills.values())

    @property
    def held(self) -> int:
        """The credits granted and not returned, whether spent or not."""
        return self.granted - self.returned


class Budget(msgspec.Struct, frozen=True, array_like=True):
    """Holds one prepaid budget: its limit and the accounts of the sessions that hold its money."""

    limit: int
    closed_bills: dict[str, int] = {}
    accounts: dict[str, Account] = {}
    revision: int = 0
    dropped: bool = False

    @property
    def committed(self) -> int:
        """The credits that are spent or that a holder may still spend."""
        held = sum(account.held for account in self.accounts.values())
        return sum(self.closed_bills.values()) + held

    @property
    def unallocated(self) -> int:
        """The credits that can still be granted; negative if the limit was lowered below them."""
        return self.limit - self.committed

    @property
    def spent(self) -> int:
        """The credits billed so far."""
        return sum(self.bills.values())

    @property
    def bills(self) -> dict[str, int]:
        """The credits billed so far, by ``client_account|service``."""
        totals = dict(self.closed_bills)
        for account in self.accounts.values():
            _add_bills(totals, account.bills)
        return totals


class ClosedBlocks(msgspec.Struct, frozen=True, array_like=True):
    """Holds the numbers of one router's settled blocks: 1 to ``floor``, and ``beyond``."""

    floor: int = 0
    beyond: tuple[int, ...] = ()

    def contains(self, number: int) -> bool:
        """Return whether block ``number`` is settled."""
        return number <= self.floor or number in self.beyond

    def add(self, numbers: Iterable[int]) -> "ClosedBlocks":
        """Return a copy that also contains ``numbers``."""
        pending = {*self.beyond, *(number for number in numbers if number > self.floor)}
        floor = self.floor
        while floor + 1 in pending:
            floor += 1
            pending.discard(floor)
        return ClosedBlocks(floor, tuple(sorted(pending)))


class Session(msgspec.Struct, frozen=True, array_like=True):
    """Holds a steward's tenure; no request paid by it may start after ``honour_until_ms``.

    ``settled`` maps a router's session to the numbers of its settled blocks.
    """

    region: str
    address: str
    honour_until_ms: int
    settled: dict[str, ClosedBlocks] = {}


class BilledItem(msgspec.Struct, frozen=True, array_like=True):
    """Holds one line of an invoice, for a service whose calls are itemised."""

    request_id: str
    budget: str
    client_account: str
    service: str
    cost: int
    finished_ms: int


class LimitChange(msgspec.Struct, frozen=True, array_like=True):
    """Holds one entry of the audit trail of a shard's limits."""

    budget: str
    actor: str
    changed_ms: int
    before: int | None
    after: int | None


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """Holds the value of one budget shard in the store."""

    budgets: dict[str, Budget] = {}
    sessions: dict[str, Session] = {}
    items: tuple[BilledItem, ...] = ()
    changes: tuple[LimitChange, ...] = ()
    operations: tuple[str, ...] = ()
    item_pages: int = 0

    def has_applied(self, operation_id: str) -> bool:
        """Return whether the write with this id is among the most recent ones applied."""
        return operation_id in self.operations


class Command(msgspec.Struct, frozen=True):
    """Base class of the transitions of a shard."""


class OpenSession(Command, frozen=True):
    """Starts or extends a steward's tenure."""

    holder: str
    region: str
    address: str
    honour_until_ms: int


class Report(Command, frozen=True):
    """Reports a steward's running totals of one budget; each is raised, never lowered."""

    holder: str
    budget: str
    granted: int
    returned: int


class SettleBlocks(Command, frozen=True):
    """Bills closed blocks; a block that is already settled is skipped.

    ``blocks`` maps block ids to (budget, bills).
    """

    holder: str
    blocks: dict[str, tuple[str, dict[str, int]]]
    items: tuple[BilledItem, ...] = ()


class CloseSession(Command, frozen=True):
    """Ends a tenure and returns its unspent money to the budgets.

    Valid only if none of the session's money can be spent any more.
    """

    holder: str


class ArchiveItems(Command, frozen=True):
    """Removes the ``count`` oldest items, which page ``page`` of the archive now holds."""

    page: int
    count: int


class SetLimit(Command, frozen=True):
    """Creates a budget or sets its limit, for an operator."""

    budget: str
    limit: int
    actor: str
    changed_ms: int


class DropBudget(Command, frozen=True):
    """Removes a budget, for an operator: nothing more is granted, and granted money drains."""

    budget: str
    actor: str
    changed_ms: int


ITEMS_PER_PAGE = 500
_CHANGES_KEPT = 200


def shard_of(budget: str, shard_count: int) -> int:
    """Return the number of the shard, from 0, that holds ``budget``."""
    return xxhash.xxh64_intdigest(budget.encode()) % shard_count


def block_number(block_id: str) -> tuple[str, int]:
    """Return the router session and the block number that a block id contains."""
    _, router_session, number = block_id.split("#")
    return router_session, int(number)


def apply_commands(shard: Shard, operation_id: str, commands: Iterable[Command]) -> Shard:
    """Return the shard after all commands, with ``operation_id`` among its recent operations.

    Raises AspengateError of kind CONFLICT if a command would break an invariant; then none is
    applied.
    """
    for command in commands:
        shard = _apply(command, shard)
    operations = (*shard.operations, operation_id)[-_OPERATIONS_KEPT:]
    return msgspec.structs.replace(shard, operations=operations)


@functools.singledispatch
def _apply(command: Command, shard: Shard) -> Shard:
    raise AspengateError(ErrorKind.INTERNAL, f"no transition for {type(command).__name__}")


@_apply.register
def _open_session(command: OpenSession, shard: Shard) -> Shard:
    known = shard.sessions.get(command.holder)
    session = Session(
        region=command.region,
        address=command.address,
        honour_until_ms=max(command.honour_until_ms, known.honour_until_ms if known else 0),
        settled=known.settled if known else {},
    )
    return _with_session(shard, command.holder, session)


@_apply.register
def _report(command: Report, shard: Shard) -> Shard:
    _require(command.holder in shard.sessions, f"session {command.holder} is not open")
    budget = shard.budgets.get(command.budget)
    if budget is None:
        raise AspengateError(ErrorKind.CONFLICT, f"no budget {command.budget}")
    before = budget.accounts.get(command.holder, Account())
    granted = max(before.granted, command.granted)
    returned = max(before.returned, command.returned)
    account = Account(granted, returned, before.bills)
    _require(account.held >= account.spent, "returned amount exceeds the unspent amount")
    extra = granted - before.granted
    _require(extra == 0 or extra <= budget.unallocated, "grant exceeds the budget's limit")
    return _with_account(shard, command.budget, command.holder, account)


@_apply.register
def _settle_blocks(command: SettleBlocks, shard: Shard) -> Shard:
    session = shard.sessions.get(command.holder)
    if session is None:
        raise AspengateError(ErrorKind.CONFLICT, f"session {command.holder} is not open")
    settled = dict(session.settled)
    for block_id, (budget, bills) in command.blocks.items():
        router_session, number = block_number(block_id)
        closed = settled.get(router_session, ClosedBlocks())
        if closed.contains(number):
            continue
        settled[router_session] = closed.add([number])
        shard = _bill(shard, command.holder, budget, bills)
    shard = _with_session(shard, command.holder, msgspec.structs.replace(session, settled=settled))
    return _with_items(shard, command.items)


@_apply.register
def _close_session(command: CloseSession, shard: Shard) -> Shard:
    for name, budget in shard.budgets.items():
        account = budget.accounts.get(command.holder)
        if account is None:
            continue
        accounts = {key: value for key, value in budget.accounts.items() if key != command.holder}
        closed = dict(budget.closed_bills)
        _add_bills(closed, account.bills)
        changed = msgspec.structs.replace(budget, accounts=accounts, closed_bills=closed)
        shard = _with_budget(shard, name, changed)
    sessions = {key: value for key, value in shard.sessions.items() if key != command.holder}
    return msgspec.structs.replace(shard, sessions=sessions)


@_apply.register
def _archive_items(command: ArchiveItems, shard: Shard) -> Shard:
    if shard.item_pages != command.page:
        return shard
    return msgspec.structs.replace(
        shard, items=shard.items[command.count :], item_pages=command.page + 1
    )


@_apply.register
def _set_limit(command: SetLimit, shard: Shard) -> Shard:
    _require(command.limit >= 0, "a limit can't be negative")
    known = shard.budgets.get(command.budget)
    revision = known.revision if known else 0
    before = known.limit if known and not known.dropped else None
    base = known or Budget(command.limit)
    changed = msgspec.structs.replace(
        base, limit=command.limit, revision=revision + 1, dropped=False
    )
    shard = _with_budget(shard, command.budget, changed)
    entry = LimitChange(command.budget, command.actor, command.changed_ms, before, command.limit)
    return _with_change(shard, entry)


@_apply.register
def _drop_budget(command: DropBudget, shard: Shard) -> Shard:
    known = shard.budgets.get(command.budget)
    if known is None:
        return shard
    changed = msgspec.structs.replace(known, limit=0, revision=known.revision + 1, dropped=True)
    shard = _with_budget(shard, command.budget, changed)
    entry = LimitChange(command.budget, command.actor, command.changed_ms, known.limit, None)
    return _with_change(shard, entry)


def _bill(shard: Shard, holder: str, budget: str, bills: Mapping[str, int]) -> Shard:
    known = shard.budgets.get(budget)
    account = known.accounts.get(holder) if known else None
    if account is None:
        raise AspengateError(
            ErrorKind.CONFLICT, f"session {holder} has no account in budget {budget}"
        )
    totals = dict(account.bills)
    _add_bills(totals, bills)
    changed = msgspec.structs.replace(account, bills=totals)
    _require(changed.spent <= changed.held, f"bills of budget {budget} exceed the amount held")
    return _with_account(shard, budget, holder, changed)


def _with_budget(shard: Shard, name: str, budget: Budget) -> Shard:
    return msgspec.structs.replace(shard, budgets={**shard.budgets, name: budget})


def _with_account(shard: Shard, name: str, holder: str, account: Account) -> Shard:
    budget = shard.budgets[name]
    accounts = {**budget.accounts, holder: account}
    return _with_budget(shard, name, msgspec.structs.replace(budget, accounts=accounts))


def _with_session(shard: Shard, holder: str, session: Session) -> Shard:
    return msgspec.structs.replace(shard, sessions={**shard.sessions, holder: session})


def _with_items(shard: Shard, items: tuple[BilledItem, ...]) -> Shard:
    known = {item.request_id for item in shard.items}
    fresh = tuple(item for item in items if item.request_id not in known)
    return msgspec.structs.replace(shard, items=(*shard.items, *fresh))


def _with_change(shard: Shard, entry: LimitChange) -> Shard:
    return msgspec.structs.replace(shard, changes=(*shard.changes, entry)[-_CHANGES_KEPT:])


def _add_bills(totals: dict[str, int], bills: Mapping[str, int]) -> None:
    for line, credits in bills.items():
        totals[line] = totals.get(line, 0) + credits


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise AspengateError(ErrorKind.CONFLICT, message, where="budget shard")


def owner_key(region: str, shard: int) -> str:
    """Return the key by which a region's routers are ranked to choose a shard's steward."""
    return f"budgets/{region}/{shard}"

"""Determines what a dead session spent, so that its unspent money returns to the budget."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from aspengate.budgets._shard import BilledItem
from aspengate.transport import BlockClosed, FenceAck, UsageRecord


@dataclass(frozen=True)
class RecoveredBlock:
    """Holds the final account of one block of a dead session."""

    block_id: str
    budget: str
    bills: dict[str, int]
    items: tuple[BilledItem, ...] = ()


@dataclass
class Recovery:
    """Collects the acknowledgements of a fenced session from every participating process.

    It is complete once each participant has acknowledged the fence and reports no running
    request of the session, or once ``certain_ms`` has passed: after that time no process starts
    work paid by the session's money, and every request that had started has ended.
    """

    session: str
    participants: frozenset[str]
    certain_ms: int
    acknowledged: set[str] = field(default_factory=set)
    running: dict[str, int] = field(default_factory=dict)
    records: dict[tuple[str, int], UsageRecord] = field(default_factory=dict)
    closed: dict[str, BlockClosed] = field(default_factory=dict)

    def add(self, ack: FenceAck) -> None:
        """Add one acknowledgement; one of another session is ignored.

        A later one replaces the sender's count of running requests and adds to its records.
        """
        if ack.session != self.session:
            return
        self.acknowledged.add(ack.sender)
        self.running[ack.sender] = len(ack.running)
        for record in ack.records:
            self.records[record.block_id, record.sequence] = record
        for closed in ack.closed:
            self.closed[closed.block_id] = closed

    def waiting_for(self) -> frozenset[str]:
        """Return the participants that have not acknowledged or still run requests."""
        busy = {sender for sender, count in self.running.items() if count}
        return frozenset((self.participants - self.acknowledged) | busy)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether the spending of the session is final at ``now_ms``."""
        return not self.waiting_for() or now_ms >= self.certain_ms

    def blocks(self, itemised: Iterable[str] = ()) -> tuple[RecoveredBlock, ...]:
        """Return the final account of every block that an acknowledgement names.

        A router's final account of a block is complete and takes precedence over the agents'
        records of single requests. From such records, only services in ``itemised`` get items.
        """
        wanted = frozenset(itemised)
        found = {
            closed.block_id: RecoveredBlock(
                closed.block_id,
                closed.budget,
                closed.bills,
                tuple(billed_item(record) for record in closed.items),
            )
            for closed in self.closed.values()
        }
        by_block: dict[str, list[UsageRecord]] = {}
        for record in self._distinct_records():
            by_block.setdefault(record.block_id, []).append(record)
        for block_id, records in by_block.items():
            if block_id not in found:
                found[block_id] = _from_records(block_id, records, wanted)
        return tuple(found.values())

    def _distinct_records(self) -> list[UsageRecord]:
        """Return the latest record of each request, so that a retry is not billed twice."""
        latest: dict[str, UsageRecord] = {}
        for record in self.records.values():
            known = latest.get(record.request_id)
            if known is None or record.finished_ms > known.finished_ms:
                latest[record.request_id] = record
        return list(latest.values())


def billed_item(record: UsageRecord) -> BilledItem:
    """Return the invoice line of a usage record."""
    return BilledItem(
        request_id=record.request_id,
        budget=record.budget,
        client_account=record.client_account,
        service=record.service,
        cost=record.cost,
        finished_ms=record.finished_ms,
    )


def _from_records(
    block_id: str, records: list[UsageRecord], itemised: frozenset[str]
) -> RecoveredBlock:
    bills: dict[str, int] = {}
    for record in records:
        line = f"{record.client_account}|{record.service}"
        bills[line] = bills.get(line, 0) + record.cost
    items = tuple(billed_item(record) for record in records if record.service in itemised)
    return RecoveredBlock(block_id, records[0].budget, bills, items)

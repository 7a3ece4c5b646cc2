"""Prepaid budgets, held in escrow at three levels: the store, a region's steward and a router.

The store grants money to the steward of a shard, and the steward lends it to routers in blocks.
The modules of this package decide and hold state only: they send nothing, and the caller passes
the current time.
"""

from aspengate.budgets._codec import decode_shard, encode_shard
from aspengate.budgets._ledger import Block, BlockLedger, Reservation
from aspengate.budgets._rates import RateEstimate
from aspengate.budgets._recovery import RecoveredBlock, Recovery, billed_item
from aspengate.budgets._shard import (
    ITEMS_PER_PAGE,
    Account,
    ArchiveItems,
    BilledItem,
    Budget,
    ClosedBlocks,
    CloseSession,
    Command,
    DropBudget,
    OpenSession,
    Report,
    Session,
    SetLimit,
    SettleBlocks,
    Shard,
    apply_commands,
    block_number,
    owner_key,
    shard_of,
)
from aspengate.budgets._sizing import SizingPolicy
from aspengate.budgets._steward import DrawStep, PlannedWrite, ShardSteward, Shortage

__all__ = [
    "ITEMS_PER_PAGE",
    "Account",
    "ArchiveItems",
    "BilledItem",
    "Block",
    "BlockLedger",
    "Budget",
    "CloseSession",
    "ClosedBlocks",
    "Command",
    "DrawStep",
    "DropBudget",
    "OpenSession",
    "PlannedWrite",
    "RateEstimate",
    "RecoveredBlock",
    "Recovery",
    "Report",
    "Reservation",
    "Session",
    "SetLimit",
    "SettleBlocks",
    "Shard",
    "ShardSteward",
    "Shortage",
    "SizingPolicy",
    "apply_commands",
    "billed_item",
    "block_number",
    "decode_shard",
    "encode_shard",
    "owner_key",
    "shard_of",
]

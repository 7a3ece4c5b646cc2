"""The key-value store that holds all that must last, as the product sees it."""

from aspengate.store._connections import StoreConnections
from aspengate.store._era import HistoryLostError, StoreEra, check_answer
from aspengate.store._grouped import GroupedWrites
from aspengate.store._kept import KeptItems, WriterOrder, no_order
from aspengate.store._mirror import KEEP_MS, MirrorState, Stance, StoreMirror
from aspengate.store._outages import OutageHistory, OutageOutlook
from aspengate.store._port import (
    Changes,
    ConditionFailedError,
    KeyValueStore,
    Put,
    Removal,
    Snapshot,
    StoreItem,
)
from aspengate.store._revision import MOST_ERA, era_of, make_revision, number_of
from aspengate.store._timeout import AdaptiveTimeout
from aspengate.store._values import DECODE_ERRORS, MOST_VALUE_BYTES, decode_value

__all__ = [
    "DECODE_ERRORS",
    "KEEP_MS",
    "MOST_ERA",
    "MOST_VALUE_BYTES",
    "AdaptiveTimeout",
    "Changes",
    "ConditionFailedError",
    "GroupedWrites",
    "HistoryLostError",
    "KeptItems",
    "KeyValueStore",
    "MirrorState",
    "OutageHistory",
    "OutageOutlook",
    "Put",
    "Removal",
    "Snapshot",
    "Stance",
    "StoreConnections",
    "StoreEra",
    "StoreItem",
    "StoreMirror",
    "WriterOrder",
    "check_answer",
    "decode_value",
    "era_of",
    "make_revision",
    "no_order",
    "number_of",
]

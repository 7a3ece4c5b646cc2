"""The key-value store that holds all that must last, as the product sees it."""

from aspengate.store._grouped import GroupedWrites
from aspengate.store._mirror import MirrorState, Stance, StoreMirror
from aspengate.store._outages import OutageHistory, OutageOutlook
from aspengate.store._port import (
    Changes,
    ConditionFailedError,
    HistoryLostError,
    KeyValueStore,
    Put,
    Removal,
    Snapshot,
    StoreItem,
)
from aspengate.store._silence import SilenceCount
from aspengate.store._timeout import AdaptiveTimeout
from aspengate.store._values import DECODE_ERRORS, MOST_VALUE_BYTES, decode_value

__all__ = [
    "DECODE_ERRORS",
    "MOST_VALUE_BYTES",
    "AdaptiveTimeout",
    "Changes",
    "ConditionFailedError",
    "GroupedWrites",
    "HistoryLostError",
    "KeyValueStore",
    "MirrorState",
    "OutageHistory",
    "OutageOutlook",
    "Put",
    "Removal",
    "SilenceCount",
    "Snapshot",
    "Stance",
    "StoreItem",
    "StoreMirror",
    "decode_value",
]

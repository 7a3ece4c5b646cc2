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

__all__ = [
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
]

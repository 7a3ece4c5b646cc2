"""The interface to the key-value store of durable shared state, and helpers for its clients."""

from aspengate.store._connections import StoreConnections
from aspengate.store._era import HistoryLostError, StoreEra, check_write_era
from aspengate.store._grouped import GroupedWrites
from aspengate.store._mirror import UNCONFIRMED_RETENTION_MS, MirrorMode, MirrorState, StoreMirror
from aspengate.store._outages import OutageForecast, OutageHistory
from aspengate.store._port import (
    Changes,
    ConditionFailedError,
    KeyValueStore,
    Put,
    Removal,
    Snapshot,
    StoreItem,
)
from aspengate.store._revision import MAX_ERA, era_of, make_revision, number_of
from aspengate.store._timeout import AdaptiveTimeout
from aspengate.store._unconfirmed import UnconfirmedItems, WriterOrder, no_order
from aspengate.store._values import DECODE_ERRORS, MAX_VALUE_BYTES, decode_value

__all__ = [
    "DECODE_ERRORS",
    "MAX_ERA",
    "MAX_VALUE_BYTES",
    "UNCONFIRMED_RETENTION_MS",
    "AdaptiveTimeout",
    "Changes",
    "ConditionFailedError",
    "GroupedWrites",
    "HistoryLostError",
    "KeyValueStore",
    "MirrorMode",
    "MirrorState",
    "OutageForecast",
    "OutageHistory",
    "Put",
    "Removal",
    "Snapshot",
    "StoreConnections",
    "StoreEra",
    "StoreItem",
    "StoreMirror",
    "UnconfirmedItems",
    "WriterOrder",
    "check_write_era",
    "decode_value",
    "era_of",
    "make_revision",
    "no_order",
    "number_of",
]

"""At most once: who may start a request that must not be repeated."""

from aspengate.claims._keys import KeyTimes, birth_time_ms, claim_key, claim_shard
from aspengate.claims._owner import ClaimDecision, ClaimOwner
from aspengate.claims._tenure import ClaimTenure, take_tenure

__all__ = [
    "ClaimDecision",
    "ClaimOwner",
    "ClaimTenure",
    "KeyTimes",
    "birth_time_ms",
    "claim_key",
    "claim_shard",
    "take_tenure",
]

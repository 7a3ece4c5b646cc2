"""At most once: who may start a request that must not be repeated."""

from aspengate.claims._keys import KeyTimes, claim_key, claim_shard, creation_time_ms
from aspengate.claims._owner import ClaimDecision, ClaimOwner
from aspengate.claims._tenure import ClaimTenure, acquire_tenure

__all__ = [
    "ClaimDecision",
    "ClaimOwner",
    "ClaimTenure",
    "KeyTimes",
    "acquire_tenure",
    "claim_key",
    "claim_shard",
    "creation_time_ms",
]

"""At-most-once execution of requests that carry an idempotency key.

The keys are divided into shards. The owner of a shard grants each key to one request and refers
later requests with the same key to the agent that runs the first one.
"""

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

"""How many requests a replica that has started lately may get, from all routers together."""

from aspengate.cold_starts._limiter import ColdStartLimiter, Contact
from aspengate.cold_starts._permit import ColdStartPermit
from aspengate.cold_starts._policy import ColdStartPolicy
from aspengate.cold_starts._shares import RouterShares, permits_of_rank

__all__ = [
    "ColdStartLimiter",
    "ColdStartPermit",
    "ColdStartPolicy",
    "Contact",
    "RouterShares",
    "permits_of_rank",
]

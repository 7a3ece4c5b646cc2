"""How many requests a replica that has started lately may get, from all routers together."""

from aspengate.cold_starts._limiter import ColdStartLimiter, Connectivity
from aspengate.cold_starts._policy import ColdStartPolicy

__all__ = ["ColdStartLimiter", "ColdStartPolicy", "Connectivity"]

"""Limits the requests that all routers together send to a replica that has recently started."""

from aspengate.cold_starts._limiter import ColdStartLimiter, Connectivity
from aspengate.cold_starts._policy import ColdStartPolicy

__all__ = ["ColdStartLimiter", "ColdStartPolicy", "Connectivity"]

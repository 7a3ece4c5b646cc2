"""Bounds of so many requests in any window, from all routers together, of which each knows a part.

Each router holds a part of a bound's permits, works out which by itself, and may grant them to
others. ``docs/design/fleet-permits.md`` shows why all of them together never exceed the bound.
"""

from aspengate.fleet_permits._bound import WindowBound
from aspengate.fleet_permits._permit import JointPermit, Permit
from aspengate.fleet_permits._permits import FleetPermits, Grant, GrantKey
from aspengate.fleet_permits._shares import (
    RouterShares,
    ShareOfRank,
    even_share,
    first_weighted_share,
)

__all__ = [
    "FleetPermits",
    "Grant",
    "GrantKey",
    "JointPermit",
    "Permit",
    "RouterShares",
    "ShareOfRank",
    "WindowBound",
    "even_share",
    "first_weighted_share",
]

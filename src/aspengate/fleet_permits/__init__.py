"""Sliding-window rate limits on the requests that all routers together send to a replica.

A limit's permits are divided among the routers. Each router computes its own share without
exchanging messages, and can grant permits from it to other routers.
``docs/design/fleet-permits.md`` explains why the routers together never exceed the limit.
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

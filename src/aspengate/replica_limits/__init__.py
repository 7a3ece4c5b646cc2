"""Keeps what all routers together send to a replica within the limit that it names."""

from aspengate.replica_limits._holders import Asked, PermitHolders
from aspengate.replica_limits._limiter import ReplicaLimiter
from aspengate.replica_limits._returns import CallerReturns

__all__ = ["Asked", "CallerReturns", "PermitHolders", "ReplicaLimiter"]

"""Keeps the requests of all routers to a replica within the rate limit that it announces."""

from aspengate.replica_limits._holders import PermitHolders
from aspengate.replica_limits._limiter import ReplicaLimiter
from aspengate.replica_limits._retry_after import RetryAfterSchedule

__all__ = ["PermitHolders", "ReplicaLimiter", "RetryAfterSchedule"]

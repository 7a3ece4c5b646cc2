"""Keeps what all routers together send to a replica within the limit that it names."""

from aspengate.replica_limits._holders import PermitHolders
from aspengate.replica_limits._limiter import ReplicaLimiter
from aspengate.replica_limits._retry_after import RetryAfterSchedule

__all__ = ["PermitHolders", "ReplicaLimiter", "RetryAfterSchedule"]

"""Provides limits on request rate, concurrency and retries, which each router applies locally."""

from aspengate.limits._adaptive import AdaptiveLimit
from aspengate.limits._bucket import TokenBucket
from aspengate.limits._limiter import Limiter
from aspengate.limits._retries import RetryBudget

__all__ = ["AdaptiveLimit", "Limiter", "RetryBudget", "TokenBucket"]

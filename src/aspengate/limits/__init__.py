"""Limits on requests and concurrency, kept by each router for its share."""

from aspengate.limits._adaptive import AdaptiveLimit
from aspengate.limits._bucket import TokenBucket
from aspengate.limits._limiter import Limiter
from aspengate.limits._retries import RetryBudget

__all__ = ["AdaptiveLimit", "Limiter", "RetryBudget", "TokenBucket"]

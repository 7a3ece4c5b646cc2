"""The retry budget that all routers of a fleet share."""

from aspengate.retries._decision import RetryDecision, RetryTally
from aspengate.retries._shared_budget import RetryPolicy, SharedRetryBudget

__all__ = ["RetryDecision", "RetryPolicy", "RetryTally", "SharedRetryBudget"]

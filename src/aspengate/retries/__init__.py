"""How many repeated attempts the whole fleet allows itself."""

from aspengate.retries._decision import RetryDecision, RetryTally
from aspengate.retries._shared_budget import RetryPolicy, SharedRetryBudget

__all__ = ["RetryDecision", "RetryPolicy", "RetryTally", "SharedRetryBudget"]

"""Sizes the shares of a rollout so that its target stays within the exposure limit.

All requests to the target, from the order to the deadline, are planned to stay within a budget,
also if the version turns bad at the last moment. The canary may use one half of the budget, and
the ramp to share 1, in the last part of the time, uses what is left.
"""

from dataclasses import dataclass

from aspengate.rollouts._policy import RolloutPolicy

RAMP_SHARES = (0.25, 0.5, 1.0)
# The rest of the limit covers retries, which count as attempts but not as requests, requests that
# no report states yet, and the random part of the draws.
_BUDGET_FRACTION = 0.8
_CANARY_FRACTION = 0.5
# With a share of its requests equal to the exposure share and no slack, a service stays below the
# limit at any rate. The share before any rate is known is far below that: at 1,000 requests a
# second, a rollout of 12 s has only 75 target requests to spare before its ramp.
_INITIAL_FRACTION = 0.1
# Beyond this share too few baseline responses would be left to compare with.
_MAX_CANARY_SHARE = 0.5
# So many target responses show a version that fails one time in five with a probability of 0.6.
_MIN_CANARY_REQUESTS = 20
# A stage of the ramp is at most this long and the whole ramp at most half of the duration.
_MAX_STAGE_MS = 10_000.0
_MAX_RAMP_FRACTION = 0.5
# The shortest ramp: share 0.25, then 1. At share 1, the requests in flight on the baseline have
# 300 ms until the rollout is completed, 500 ms before the deadline.
_LAST_STAGE_MS = 800.0
# The first stage is longer where that leaves a part of the budget to the canary: a takeover by
# another decider, which needs the reports of most routers, then fits into it.
_MIN_FIRST_STAGE_MS = 500.0
_MAX_FIRST_STAGE_MS = 900.0
_MIN_CANARY_FRACTION = 0.25
# Requests may be in no report yet for 500 ms, and the next step is up to 500 ms away.
_REPORT_DELAY_MS = 1_000.0


@dataclass(frozen=True)
class Usage:
    """The attempts of all routers so far, and the time that they took.

    ``per_ms`` is the rate of attempts to be expected; it is 0 if there were none. ``remaining_ms``
    is the time until the deadline.
    """

    attempts: int
    target_attempts: int
    per_ms: float
    duration_ms: float
    remaining_ms: float


class RolloutSchedule:
    """Plans the shares of one rollout; holds no state."""

    def __init__(self, policy: RolloutPolicy) -> None:
        self.policy = policy

    @property
    def initial_share(self) -> float:
        """The share while the service's rate is unknown."""
        return self.policy.exposure_share * _INITIAL_FRACTION

    def budget(self, usage: Usage) -> float:
        """Return how many requests the target may receive until the deadline."""
        expected = usage.attempts + usage.per_ms * max(0.0, usage.remaining_ms)
        limit = self.policy.exposure_share * expected + self.policy.exposure_slack
        return _BUDGET_FRACTION * limit

    def canary_share(self, usage: Usage) -> float:
        """Return the share before the ramp.

        It uses at most half of the budget, and less where the ramp needs more than the other half.
        """
        if usage.per_ms <= 0:
            return self.initial_share
        budget = self.budget(usage)
        half = budget * _CANARY_FRACTION
        first_ms = self._first_stage_ms(usage)
        ramp_need = usage.per_ms * (_LAST_STAGE_MS + RAMP_SHARES[0] * first_ms)
        allowance = min(half, max(budget - ramp_need, min(_MIN_CANARY_REQUESTS, half)))
        # The slack is spread over the time before the ramp. Without this limit, a target that
        # became available late would receive the whole allowance at once.
        ramp_ms = len(RAMP_SHARES) * self._stage_ms(budget - allowance, usage, RAMP_SHARES)
        canary_ms = max(1.0, usage.duration_ms - ramp_ms)
        slack = _BUDGET_FRACTION * _CANARY_FRACTION * self.policy.exposure_slack
        limit = _CANARY_FRACTION * self.policy.exposure_share + slack / (usage.per_ms * canary_ms)
        # The ramp needs evidence, so that the share does not fall below half of the even one.
        left_ms = max(canary_ms / 4, usage.remaining_ms - ramp_ms)
        even = allowance / (usage.per_ms * canary_ms)
        share = max(even / 2, (allowance - usage.target_attempts) / (usage.per_ms * left_ms))
        return max(0.0, min(share, limit, _MAX_CANARY_SHARE))

    def ramp_share(self, share: float, usage: Usage) -> float:
        """Return the next share of the ramp, or ``share`` as long as its time has not come.

        Stages are equally long, and as long as the budget allows until the deadline. A service
        without requests has stages of the maximum length.
        """
        later = [each for each in RAMP_SHARES if each > share]
        remaining_ms = usage.remaining_ms
        if not later:
            return share
        if remaining_ms <= _LAST_STAGE_MS:
            return 1.0
        unreported = usage.per_ms * share * _REPORT_DELAY_MS
        left = self.budget(usage) - usage.target_attempts - unreported
        stage_ms = self._stage_ms(left, usage, tuple(later), share)
        if stage_ms < _LAST_STAGE_MS:
            begins_ms = _LAST_STAGE_MS + self._first_stage_ms(usage)
            is_first = share < RAMP_SHARES[0] and remaining_ms <= begins_ms
            return RAMP_SHARES[0] if is_first else share
        return later[0] if remaining_ms <= len(later) * stage_ms else share

    def _first_stage_ms(self, usage: Usage) -> float:
        """Return the length of the first stage of the shortest ramp, in ms."""
        share_ms = (1 - _MIN_CANARY_FRACTION) * self.budget(usage) / usage.per_ms
        first_ms = (share_ms - _LAST_STAGE_MS) / RAMP_SHARES[0]
        return max(_MIN_FIRST_STAGE_MS, min(first_ms, _MAX_FIRST_STAGE_MS))

    def _stage_ms(
        self, left: float, usage: Usage, shares: tuple[float, ...], held: float | None = None
    ) -> float:
        """Return the length of each of the stages ``shares`` with ``left`` requests to use.

        Until they begin, the share ``held`` uses a part of ``left`` as well.
        """
        longest = min(_MAX_STAGE_MS, usage.duration_ms * _MAX_RAMP_FRACTION / len(RAMP_SHARES))
        if usage.per_ms <= 0:
            return longest
        share_ms = left / usage.per_ms
        weight = sum(shares)
        if held is not None:
            share_ms -= held * usage.remaining_ms
            weight -= held * len(shares)
        return max(0.0, min(longest, share_ms / weight))

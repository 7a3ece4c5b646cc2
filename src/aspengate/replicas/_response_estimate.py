"""Estimates a replica's response time, and lets estimates age while the replica is not used."""

# The assumed response time of a plain service before any of its replicas was observed.
INITIAL_RESPONSE_MS = 50.0
# The weight of a sample directly after another one; it averages over about five samples.
_RESPONSE_WEIGHT = 0.2
# Earlier samples lose weight against a new one, and an estimate approaches a lower one, with this
# half-life. A replica that was ten times slower than the others is tried again after about 30 s.
_RESPONSE_HALF_LIFE_MS = 5_000.0


class ResponseEstimate:
    """The usual time of a complete plain response, in ms.

    ``mean_ms`` is an average that favours recent samples, ``sampled_ms`` the time of the last one.
    ``used_ms`` is when the last request ended, with or without a sample. The estimate ages from
    then on, so that a trial that gave no sample is not repeated at once. Times are monotonic.
    """

    def __init__(self) -> None:
        self.mean_ms = INITIAL_RESPONSE_MS
        self.sampled_ms = float("-inf")
        self.used_ms = float("-inf")

    @property
    def is_known(self) -> bool:
        """Whether there is any sample."""
        return self.sampled_ms > float("-inf")

    def record(self, response_ms: float, now_ms: float) -> None:
        """Record a sample; the first one, or one after a long time, replaces the estimate."""
        kept = remaining_weight(now_ms - self.sampled_ms, _RESPONSE_HALF_LIFE_MS)
        weight = 1.0 - (1.0 - _RESPONSE_WEIGHT) * kept
        self.mean_ms += weight * (response_ms - self.mean_ms)
        self.sampled_ms = now_ms

    def aged_ms(self, lowest_ms: float, now_ms: float) -> float:
        """Return the estimate, moved by its age towards ``lowest_ms`` if that is lower."""
        excess_ms = max(0.0, self.mean_ms - lowest_ms)
        kept = remaining_weight(now_ms - self.used_ms, _RESPONSE_HALF_LIFE_MS)
        return self.mean_ms - (1.0 - kept) * excess_ms


def remaining_weight(age_ms: float, half_life_ms: float) -> float:
    """Return the weight, from 1 to 0, that an observation still has at an age."""
    return float(0.5 ** (max(0.0, age_ms) / half_life_ms))

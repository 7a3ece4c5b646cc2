"""Estimates how long streams at a replica pause while it reads a prompt.

An engine reads a prompt in chunks between the decoding steps of its streams, so that a long prompt
delays each of them, at a slow replica longer than at a fast one.
"""

import math
import threading

# A pause is a noisy sample; this weight averages over about six of them.
_WEIGHT = 0.15
# Half octaves, since pauses double between prompts of 4,000 and of 12,000 tokens.
_BUCKETS_PER_OCTAVE = 2
# Ratios of an expected pause to a stream's longest allowed pause: the risk of missing the allowed
# pause rises from 0 at the first ratio to 1 at the second. Pauses vary by about a tenth.
_MIN_RISK_RATIO = 0.9
_CERTAIN_RISK_RATIO = 1.15


class PauseModel:
    """Estimates the longest pause of other streams while a prompt is read, by prompt size.

    Pauses are kept in units of the replica's usual interval between events, so that samples of one
    replica apply to faster and slower ones.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._intervals: dict[int, float] = {}

    def record(self, tokens: float, pause_ms: float, interval_ms: float) -> None:
        """Record the longest pause of other streams while a prompt of ``tokens`` was read."""
        bucket = _bucket(tokens)
        intervals = pause_ms / interval_ms
        with self._lock:
            before = self._intervals.get(bucket, intervals)
            self._intervals[bucket] = before + _WEIGHT * (intervals - before)

    def expected_ms(self, tokens: float, interval_ms: float) -> float:
        """Return the pause that a prompt would cause, 0 if no sample of its size exists."""
        with self._lock:
            return self._intervals.get(_bucket(tokens), 0.0) * interval_ms


def miss_probability(pause_ms: float, aim_ms: float) -> float:
    """Return the probability, 0 to 1, that an expected pause exceeds the allowed one."""
    if aim_ms <= 0:
        return 0.0
    probability = (pause_ms / aim_ms - _MIN_RISK_RATIO) / (_CERTAIN_RISK_RATIO - _MIN_RISK_RATIO)
    return min(1.0, max(0.0, probability))


def _bucket(tokens: float) -> int:
    return int(_BUCKETS_PER_OCTAVE * math.log2(max(1.0, tokens)))

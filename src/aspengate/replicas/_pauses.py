"""How long streams pause at a replica while it reads a prompt, learned from streams seen.

An engine reads a prompt in pieces between the steps that make tokens for all its streams, so that
a long prompt holds up each of them, at a slow replica longer than at a fast one.
"""

import math
import threading

# A pause is a noisy sample; 0.15 averages about six.
_WEIGHT = 0.15
# Half octaves: pauses double from 4,000 to 12,000 tokens of a prompt, measured on pliego-aspen.
_SIZES_AN_OCTAVE = 2
# Where a pause comes to lie around a stream's aim can't be foretold exactly: from this part of
# the aim on some streams are hurt, from the other on all. A choice; pauses vary by about a tenth.
_RISKY_PART = 0.9
_HURT_PART = 1.15


class PauseModel:
    """The longest pause of other streams while a prompt is read, by the size of the prompt.

    Pauses are kept in units of the replica's usual interval between events, so that what was seen
    at one replica tells of the others, faster or slower.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._intervals: dict[int, float] = {}

    def record(self, tokens: float, pause_ms: float, interval_ms: float) -> None:
        """Learn from a prompt of ``tokens`` that was read while streams ran beside it."""
        size = _size(tokens)
        intervals = pause_ms / interval_ms
        with self._lock:
            before = self._intervals.get(size, intervals)
            self._intervals[size] = before + _WEIGHT * (intervals - before)

    def expected_ms(self, tokens: float, interval_ms: float) -> float:
        """Return the pause that a prompt would cause, 0 where none like it was seen."""
        with self._lock:
            return self._intervals.get(_size(tokens), 0.0) * interval_ms


def risk(pause_ms: float, aim_ms: float) -> float:
    """Return how likely a stream with a pause of ``pause_ms`` misses its aim, 0 to 1."""
    if aim_ms <= 0:
        return 0.0
    part = (pause_ms / aim_ms - _RISKY_PART) / (_HURT_PART - _RISKY_PART)
    return min(1.0, max(0.0, part))


def _size(tokens: float) -> int:
    return int(_SIZES_AN_OCTAVE * math.log2(max(1.0, tokens)))

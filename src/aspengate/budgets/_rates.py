"""Estimates the rate at which a budget is spent."""

import math

_DEFAULT_HALF_LIFE_MS = 30_000.0


class RateEstimate:
    """Holds an exponentially weighted rate, in credits per second."""

    def __init__(self, half_life_ms: float = _DEFAULT_HALF_LIFE_MS) -> None:
        self._decay_per_ms = math.log(2) / half_life_ms
        self._weighted = 0.0
        self._updated_ms = 0.0

    def add(self, amount: int, now_ms: float) -> None:
        """Add ``amount`` credits spent at ``now_ms``."""
        self._decay_to(now_ms)
        self._weighted += amount

    def per_second(self, now_ms: float) -> float:
        """Return the rate at ``now_ms``, in credits per second."""
        self._decay_to(now_ms)
        return self._weighted * self._decay_per_ms * 1_000

    def _decay_to(self, now_ms: float) -> None:
        elapsed = max(0.0, now_ms - self._updated_ms)
        self._weighted *= math.exp(-elapsed * self._decay_per_ms)
        self._updated_ms = max(self._updated_ms, now_ms)

"""Provides a concurrency limit for an upstream that adapts to its response latency."""

_INITIAL_LIMIT = 32.0
_MIN_LIMIT = 1.0
_MAX_LIMIT = 4_096.0
_DECREASE_FACTOR = 0.9
_DECREASE_INTERVAL_MS = 200.0


class AdaptiveLimit:
    """Limits the requests in flight by additive increase and multiplicative decrease (AIMD).

    When a response begins later than ``target_ms``, the limit, or the number of requests in flight
    plus one if that is lower, is reduced by a tenth, at most once in 200 ms. Otherwise the limit
    grows by one per round (as many responses as the limit), but only while at least half of it is
    in use. Each router maintains its own limit for each upstream, so no messages are needed;
    routers that share an upstream arrive at their shares by the same rule.
    """

    def __init__(self, target_ms: float = 1_000.0) -> None:
        self.target_ms = target_ms
        self.limit = _INITIAL_LIMIT
        self._decreased_ms = float("-inf")

    def allows(self, in_flight: int, share: float = 1.0) -> bool:
        """Return whether one more request fits into ``share`` of the limit, which is at least 1."""
        return in_flight < max(_MIN_LIMIT, self.limit * share)

    def observe(self, first_answer_ms: float, in_flight: int, now_ms: float) -> None:
        """Adjust the limit after a response that began ``first_answer_ms`` after its request.

        ``in_flight`` is the number of requests in flight at ``now_ms``, including this one.
        """
        if first_answer_ms > self.target_ms:
            if now_ms - self._decreased_ms >= _DECREASE_INTERVAL_MS:
                self.limit = max(_MIN_LIMIT, min(self.limit, in_flight + 1) * _DECREASE_FACTOR)
                self._decreased_ms = now_ms
        elif in_flight >= self.limit * 0.5:
            self.limit = min(_MAX_LIMIT, self.limit + 1.0 / self.limit)

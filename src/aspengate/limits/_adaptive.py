"""How much work an upstream can take from this router, found from how late its answers begin."""

_FIRST_LIMIT = 32.0
_LEAST = 1.0
_MOST = 4_096.0
_DECREASE = 0.9
_PAUSE_MS = 200.0


class AdaptiveLimit:
    """A limit on requests in flight that grows by one a round and shrinks by a tenth.

    It shrinks when answers begin later than ``target_ms`` and grows only while it is in use. It
    is kept for each upstream by each router on its own, so that no message is needed; routers
    that share an upstream find their shares by the same rule.
    """

    def __init__(self, target_ms: float = 1_000.0) -> None:
        self.target_ms = target_ms
        self.limit = _FIRST_LIMIT
        self._shrunk_ms = float("-inf")

    def allows(self, in_flight: int, share: float = 1.0) -> bool:
        """Return whether one more request fits, for work that may use ``share`` of the limit."""
        return in_flight < max(_LEAST, self.limit * share)

    def observe(self, first_answer_ms: float, in_flight: int, now_ms: float) -> None:
        """Take the delay of one answer's beginning, with what was in flight then."""
        if first_answer_ms > self.target_ms:
            if now_ms - self._shrunk_ms >= _PAUSE_MS:
                self.limit = max(_LEAST, min(self.limit, in_flight + 1) * _DECREASE)
                self._shrunk_ms = now_ms
        elif in_flight >= self.limit * 0.5:
            self.limit = min(_MOST, self.limit + 1.0 / self.limit)

"""How long to wait for one answer of the store, found from how long answers take."""

import threading

_LEAST_MS = 200.0
_FIRST_MS = 400.0
_FACTOR = 6.0
_MARGIN_MS = 100.0
_WEIGHT = 0.2
_BACK_OFF = 2.0


class AdaptiveTimeout:
    """A timeout that follows the answers' times and doubles with each one that is missed.

    A lost answer is noticed soon while the store is quick, and one that is only slow is waited
    for. ``most_ms`` bounds it.
    """

    def __init__(self, max_ms: float) -> None:
        self.max_ms = max_ms
        self._usual_ms: float | None = None
        self._back_off = 1.0
        self._lock = threading.Lock()

    @property
    def value_ms(self) -> float:
        """The time to wait for the next answer, in milliseconds."""
        with self._lock:
            first = self._usual_ms is None
            usual = _FIRST_MS if first else (self._usual_ms or 0.0) * _FACTOR + _MARGIN_MS
            return min(self.max_ms, max(_LEAST_MS, usual) * self._back_off)

    def record_answer(self, duration_ms: float) -> None:
        """Take the time of an answer that came."""
        with self._lock:
            usual = duration_ms if self._usual_ms is None else self._usual_ms
            self._usual_ms = usual + _WEIGHT * (duration_ms - usual)
            self._back_off = 1.0

    def record_timeout(self) -> None:
        """Note that no answer came in time."""
        with self._lock:
            self._back_off = min(self._back_off * _BACK_OFF, self.max_ms / _LEAST_MS)

"""An answer timeout that adapts to the store's response times."""

import threading

_MIN_TIMEOUT_MS = 200.0
_INITIAL_TIMEOUT_MS = 400.0
_MEAN_FACTOR = 6.0
_MARGIN_MS = 100.0
_NEW_SAMPLE_WEIGHT = 0.2
_BACKOFF_FACTOR = 2.0


class AdaptiveTimeout:
    """Computes a timeout from the mean response time, doubled for each consecutive timeout.

    Lost answers are detected early while the store is fast, and slow answers are still awaited.
    ``max_ms`` is the upper bound. All methods are thread-safe.
    """

    def __init__(self, max_ms: float) -> None:
        self.max_ms = max_ms
        self._mean_ms: float | None = None
        self._backoff = 1.0
        self._lock = threading.Lock()

    @property
    def value_ms(self) -> float:
        """The timeout for the next answer, in milliseconds."""
        with self._lock:
            first = self._mean_ms is None
            base = (
                _INITIAL_TIMEOUT_MS if first else (self._mean_ms or 0.0) * _MEAN_FACTOR + _MARGIN_MS
            )
            return min(self.max_ms, max(_MIN_TIMEOUT_MS, base) * self._backoff)

    def record_answer(self, duration_ms: float) -> None:
        """Add the response time of an answer to the moving mean, and reset the backoff."""
        with self._lock:
            mean = duration_ms if self._mean_ms is None else self._mean_ms
            self._mean_ms = mean + _NEW_SAMPLE_WEIGHT * (duration_ms - mean)
            self._backoff = 1.0

    def record_timeout(self) -> None:
        """Double the timeout after an answer that did not arrive in time."""
        with self._lock:
            self._backoff = min(self._backoff * _BACKOFF_FACTOR, self.max_ms / _MIN_TIMEOUT_MS)

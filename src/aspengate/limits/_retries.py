"""Provides the retry budget of one router."""

import threading

_DEFAULT_FRACTION = 0.1
_DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Allows retries in proportion to first attempts, plus a reserve for times of little traffic.

    Each first attempt earns ``fraction`` of a retry. The budget starts with ``reserve`` retries
    and accumulates at most ten times that. It may be used from several threads.
    """

    def __init__(
        self, fraction: float = _DEFAULT_FRACTION, reserve: float = _DEFAULT_RESERVE
    ) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self._tokens = reserve
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        with self._lock:
            self._tokens = min(self.reserve * 10, self._tokens + self.fraction)

    def acquire(self) -> bool:
        """Return whether one more retry is allowed, and deduct it if so."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True

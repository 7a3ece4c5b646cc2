"""How many retries a router allows itself."""

import threading

_DEFAULT_FRACTION = 0.1
_DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Allows retries as a fraction of first tries, with a small reserve for quiet times."""

    def __init__(
        self, fraction: float = _DEFAULT_FRACTION, reserve: float = _DEFAULT_RESERVE
    ) -> None:
        self.fraction = fraction
        self.reserve = reserve
        self._tokens = reserve
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Count a first try."""
        with self._lock:
            self._tokens = min(self.reserve * 10, self._tokens + self.fraction)

    def acquire(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True

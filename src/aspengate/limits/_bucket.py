"""Provides a token bucket for rate limiting."""


class TokenBucket:
    """Allows ``rate`` events per second on average and up to ``burst`` events at once.

    The bucket starts full. It is not thread-safe: callers hold their own lock.
    """

    def __init__(self, rate: float, burst: float, now_ms: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self._updated_ms = now_ms

    def configure(self, rate: float, burst: float) -> None:
        """Change the rate and the burst size; the bucket is not refilled."""
        self.rate = rate
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def acquire(self, now_ms: float, amount: float = 1.0) -> bool:
        """Remove ``amount`` tokens and return True, or return False if fewer are available."""
        elapsed = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = max(self._updated_ms, now_ms)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate / 1_000)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

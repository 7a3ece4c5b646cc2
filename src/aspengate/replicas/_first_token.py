"""Estimates the time to first token of engines from the requests that this router sent."""

import threading

# Factor on the weight of earlier requests with each new one: 0.98 averages over about 50.
_DECAY = 0.98
# Samples before any observation, as (tokens, ms); each counts as one request. Small prompts take
# tens of milliseconds, and a token takes far less than one.
_INITIAL_SAMPLES = ((0.0, 50.0), (10_000.0, 300.0))
_MIN_MS_PER_TOKEN = 1e-4


class FirstTokenModel:
    """Fits a line to observed times to first token, by prompt tokens to read.

    It is a least-squares fit over all replicas together, in which the weight of samples decays. How
    much a replica deviates from the line is kept in its ``ReplicaView.slowness``. ``base_ms`` is
    the time with no tokens to read, ``ms_per_token`` what each prompt token adds.
    """

    def __init__(self) -> None:
        self.base_ms = 0.0
        self.ms_per_token = _MIN_MS_PER_TOKEN
        self._lock = threading.Lock()
        self._weight = 0.0
        self._tokens = 0.0
        self._ms = 0.0
        self._tokens_squared = 0.0
        self._tokens_ms = 0.0
        for tokens, first_ms in _INITIAL_SAMPLES:
            self.record(tokens, first_ms)

    def expected_ms(self, tokens: float) -> float:
        """Return the usual time to first token with ``tokens`` to read, in milliseconds."""
        return self.base_ms + self.ms_per_token * tokens

    def record(self, tokens: float, first_ms: float) -> None:
        """Record a first token that arrived after ``first_ms`` with ``tokens`` to read."""
        with self._lock:
            self._weight = self._weight * _DECAY + 1.0
            self._tokens = self._tokens * _DECAY + tokens
            self._ms = self._ms * _DECAY + first_ms
            self._tokens_squared = self._tokens_squared * _DECAY + tokens * tokens
            self._tokens_ms = self._tokens_ms * _DECAY + tokens * first_ms
            self._fit()

    def _fit(self) -> None:
        """Recompute the line; the caller holds the lock."""
        spread = self._weight * self._tokens_squared - self._tokens * self._tokens
        slope = 0.0
        if spread > 0:
            slope = (self._weight * self._tokens_ms - self._tokens * self._ms) / spread
        self.ms_per_token = max(_MIN_MS_PER_TOKEN, slope)
        self.base_ms = max(0.0, (self._ms - self.ms_per_token * self._tokens) / self._weight)

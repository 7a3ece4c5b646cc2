"""How long engines take to a first token, learned from the requests that this router sent."""

import threading

# Part of the weight that earlier requests keep with each new one: 0.98 remembers about 50.
_KEPT = 0.98
# What is expected before anything was observed; each counts as one request, soon outweighed.
# A choice: small prompts take tens of milliseconds, and a token far less than one.
_FIRST_GUESSES = ((0.0, 50.0), (10_000.0, 300.0))
_LEAST_MS_A_TOKEN = 1e-4


class FirstTokenModel:
    """A line through the first tokens seen: a base in ms, and ms for each prompt token to read.

    It is a least-squares fit whose samples fade, over all replicas together; how much slower one
    replica is than the line says is kept with that replica. ``base_ms`` is a first token's time
    with nothing to read, ``ms_a_token`` what a prompt token adds; both in milliseconds.
    """

    def __init__(self) -> None:
        self.base_ms = 0.0
        self.ms_per_token = _LEAST_MS_A_TOKEN
        self._lock = threading.Lock()
        self._weight = 0.0
        self._tokens = 0.0
        self._ms = 0.0
        self._tokens_squared = 0.0
        self._tokens_ms = 0.0
        for tokens, first_ms in _FIRST_GUESSES:
            self.record(tokens, first_ms)

    def expected_ms(self, tokens: float) -> float:
        """Return how long a first token usually takes with ``tokens`` to read, in milliseconds."""
        return self.base_ms + self.ms_per_token * tokens

    def record(self, tokens: float, first_ms: float) -> None:
        """Learn from a first token that came after ``first_ms`` with ``tokens`` to read."""
        with self._lock:
            self._weight = self._weight * _KEPT + 1.0
            self._tokens = self._tokens * _KEPT + tokens
            self._ms = self._ms * _KEPT + first_ms
            self._tokens_squared = self._tokens_squared * _KEPT + tokens * tokens
            self._tokens_ms = self._tokens_ms * _KEPT + tokens * first_ms
            self._fit()

    def _fit(self) -> None:
        """Draw the line anew; call it with the lock held."""
        spread = self._weight * self._tokens_squared - self._tokens * self._tokens
        slope = 0.0
        if spread > 0:
            slope = (self._weight * self._tokens_ms - self._tokens * self._ms) / spread
        self.ms_per_token = max(_LEAST_MS_A_TOKEN, slope)
        self.base_ms = max(0.0, (self._ms - self.ms_per_token * self._tokens) / self._weight)

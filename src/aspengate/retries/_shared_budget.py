"""One router's share of the fleet's retry budget, in every sliding window."""

import threading
from collections import defaultdict, deque
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.retries._decision import RetryDecision, RetryTally

# Part of the fleet's budget that is used; the rest covers routers that join or start again
# before all others know of it.
_USED_PART = 0.7
_FIRST_WINDOW_PART = 0.2


@dataclass(frozen=True)
class RetryPolicy:
    """The fleet's bound: in any ``window_ms``, ``ratio`` x the requests + ``slack`` repeats."""

    ratio: float
    slack: float
    window_ms: float


@dataclass
class _Window:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)
    allowed: int = 0
    refused: int = 0
    last: RetryDecision | None = None

    def note(self, decision: RetryDecision) -> None:
        """Count a decision for the next tally."""
        self.allowed += decision.allowed
        self.refused += not decision.allowed
        self.last = decision


class SharedRetryBudget:
    """Allows repeats by service so that all routers together stay within the policy.

    Each router counts its own requests and takes an equal part of the slack, so that no message
    is needed; ``routers`` is how many may be alive. A router that has just started may follow
    one that used its part in the same window, and takes less until the window is over.
    """

    def __init__(self, policy: RetryPolicy, clock: Clock) -> None:
        self.policy = policy
        self.routers = 1
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._told_ms: float | None = None
        self._windows: dict[str, _Window] = defaultdict(_Window)
        self._lock = threading.Lock()

    def note_routers(self, routers: int) -> None:
        """Take over how many routers may be alive, this one among them."""
        with self._lock:
            self.routers = routers
            self._told_ms = self._clock.monotonic_ms()

    def told_ms(self) -> float | None:
        """Return how long ago the number of routers was told, in ms; None if it never was."""
        with self._lock:
            told_ms = self._told_ms
        return None if told_ms is None else self._clock.monotonic_ms() - told_ms

    def note_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        with self._lock:
            window = self._current(service)
            window.requests.append(self._clock.monotonic_ms())

    def take(self, service: str) -> RetryDecision:
        """Decide on one more repeat, and count it where it is allowed."""
        with self._lock:
            window = self._current(service)
            share = self._allowed(len(window.requests))
            repeats = len(window.repeats)
            allowed = repeats + 1 <= share
            if allowed:
                window.repeats.append(self._clock.monotonic_ms())
            decision = RetryDecision(allowed, repeats, share, len(window.requests), self.routers)
            window.note(decision)
            return decision

    def tallies(self) -> list[RetryTally]:
        """Return the decisions by service since the last call, of services that had any."""
        with self._lock:
            found = []
            for service, window in self._windows.items():
                if window.last is not None:
                    found.append(RetryTally(service, window.allowed, window.refused, window.last))
                    window.allowed, window.refused, window.last = 0, 0, None
            return found

    def _allowed(self, requests: int) -> float:
        slack = self.policy.slack / max(1, self.routers)
        allowed = _USED_PART * (self.policy.ratio * requests + slack)
        if self._clock.monotonic_ms() - self._started_ms < self.policy.window_ms:
            return allowed * _FIRST_WINDOW_PART
        return allowed

    def _current(self, service: str) -> _Window:
        window = self._windows[service]
        oldest = self._clock.monotonic_ms() - self.policy.window_ms
        for times in (window.requests, window.repeats):
            while times and times[0] < oldest:
                times.popleft()
        return window

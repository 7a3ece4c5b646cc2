"""Limits one router to its share of the fleet's retry budget in every sliding window."""

import bisect
import threading
from collections import defaultdict, deque
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.retries._decision import RetryDecision, RetryTally
from aspengate.retries._fleet_size import FleetSize

# The fraction of the fleet's slack that is distributed. The rest covers routers that the others are
# not yet aware of, up to a fifth of those that they are aware of.
_SLACK_FRACTION = 0.83
# The fraction of the ratio that is distributed. Each router's window ends at its own last retry, so
# the requests counted by all routers may span two windows; the policy counts those of one.
_RATIO_FRACTION = 0.5


@dataclass(frozen=True)
class RetryPolicy:
    """The fleet's limit: in any ``window_ms``, at most ``ratio`` x requests + ``slack`` retries.

    Within ``start_ms`` of a router's start or death, all routers are aware of the new router, and
    everything that the dead one sent has arrived.
    """

    ratio: float
    slack: float
    window_ms: float
    start_ms: float = 3_000.0


@dataclass
class _Window:
    """One service's requests and retries; ``arrived`` holds the retries' arrival times, sorted."""

    requests: deque[float] = field(default_factory=deque)
    in_flight: int = 0
    arrived: list[float] = field(default_factory=list)
    allowed: int = 0
    refused: int = 0
    last: RetryDecision | None = None

    @property
    def retries(self) -> int:
        """The number of retries that count now."""
        return self.in_flight + len(self.arrived)

    def expire(self, oldest_ms: float) -> None:
        """Remove requests and retries from before ``oldest_ms``."""
        while self.requests and self.requests[0] < oldest_ms:
            self.requests.popleft()
        del self.arrived[: bisect.bisect_left(self.arrived, oldest_ms)]

    def record(self, decision: RetryDecision) -> None:
        """Count a decision for the next tally."""
        self.allowed += decision.allowed
        self.refused += not decision.allowed
        self.last = decision


class SharedRetryBudget:
    """Allows retries per service such that all routers together stay within the policy.

    Each router counts its own requests and uses an equal share of the slack, so that the only
    information exchanged is the number of routers. ``docs/design/retries.md`` proves the bound.
    """

    def __init__(self, policy: RetryPolicy, clock: Clock) -> None:
        self.policy = policy
        self.fleet = FleetSize(clock)
        self._clock = clock
        self._windows: dict[str, _Window] = defaultdict(_Window)
        self._lock = threading.Lock()

    @property
    def router_count(self) -> int:
        """The number of routers that share the budget now; 0 if unknown.

        Routers that stopped count for a window after all that they sent has arrived. When they
        counted for a window after they stopped, retries that arrived late exceeded the budget.
        """
        return self.fleet.max_within(self._retention_ms)

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that may be alive, including this one."""
        with self._lock:
            self.fleet.record(routers, self._retention_ms)

    def router_count_age_ms(self) -> float | None:
        """Return the time since the router count was last set, in ms; None if it never was."""
        return self.fleet.age_ms()

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        with self._lock:
            window = self._current_window(service)
            window.requests.append(self._clock.monotonic_ms())

    def acquire(self, service: str) -> RetryDecision:
        """Decide on one more retry; an allowed one counts at least until it is settled."""
        with self._lock:
            window = self._current_window(service)
            share = self._share(len(window.requests))
            allowed = window.retries + 1 <= share
            decision = RetryDecision(
                allowed, window.retries, share, len(window.requests), self.router_count
            )
            window.in_flight += allowed
            window.record(decision)
            return decision

    def settle(self, service: str, *, allowed: int, arrived: int, arrived_ms: float) -> None:
        """Record the end of a request for which ``allowed`` retries had been allowed.

        At most ``arrived`` of them have reached a replica, the last one no later than
        ``arrived_ms`` in monotonic time.
        """
        with self._lock:
            window = self._current_window(service)
            window.in_flight -= allowed
            # A retry counts for one window after its arrival, not after it was allowed: otherwise a
            # delayed one would reach the replica together with those of the next window.
            for _ in range(min(allowed, arrived)):
                bisect.insort(window.arrived, arrived_ms)

    def drain_tallies(self) -> list[RetryTally]:
        """Return and reset the decisions per service, for services that had any."""
        with self._lock:
            tallies = []
            for service, window in self._windows.items():
                if window.last is not None:
                    tallies.append(RetryTally(service, window.allowed, window.refused, window.last))
                    window.allowed, window.refused, window.last = 0, 0, None
            return tallies

    @property
    def _retention_ms(self) -> float:
        """How long what a router sent before its end may count in a window of arrivals."""
        return self.policy.window_ms + self.policy.start_ms

    def _share(self, requests: int) -> float:
        """Return the maximum number of retries of this router in its window.

        It is 0 until the router count has been known for a window and ``start_ms``: until then, an
        earlier process of this router may have used its share, and other routers may use a count
        that does not include this one.
        """
        known_for_ms = self.fleet.known_for_ms()
        if known_for_ms is None or known_for_ms < self._retention_ms:
            return 0.0
        slack = _SLACK_FRACTION * self.policy.slack / self.router_count
        return _RATIO_FRACTION * self.policy.ratio * requests + slack

    def _current_window(self, service: str) -> _Window:
        window = self._windows[service]
        window.expire(self._clock.monotonic_ms() - self.policy.window_ms)
        return window

"""One router's share of the fleet's retry budget, in every sliding window."""

import bisect
import threading
from collections import defaultdict, deque
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.retries._decision import RetryDecision, RetryTally
from aspengate.retries._fleet_size import FleetSize

# Part of the fleet's slack that is shared out; the rest covers routers that others have not heard
# of yet, as many as a fifth of those that they know.
_SLACK_PART = 0.83
# Part of the ratio that is shared out. Each router looks back from its own last repeat, so that
# the requests they all go by may lie in two windows; the policy counts those of one.
_RATIO_PART = 0.5


@dataclass(frozen=True)
class RetryPolicy:
    """The fleet's bound: in any ``window_ms``, ``ratio`` x the requests + ``slack`` repeats.

    ``start_ms`` is within what time all routers have heard of one that starts, and what a dead
    one sent has arrived.
    """

    ratio: float
    slack: float
    window_ms: float
    start_ms: float = 3_000.0


@dataclass
class _Window:
    """One service's requests and repeats; ``arrived`` holds the times of arrivals, in order."""

    requests: deque[float] = field(default_factory=deque)
    under_way: int = 0
    arrived: list[float] = field(default_factory=list)
    allowed: int = 0
    refused: int = 0
    last: RetryDecision | None = None

    @property
    def repeats(self) -> int:
        """How many repeats count now."""
        return self.under_way + len(self.arrived)

    def forget(self, oldest_ms: float) -> None:
        """Drop what was before ``oldest_ms``."""
        while self.requests and self.requests[0] < oldest_ms:
            self.requests.popleft()
        del self.arrived[: bisect.bisect_left(self.arrived, oldest_ms)]

    def note(self, decision: RetryDecision) -> None:
        """Count a decision for the next tally."""
        self.allowed += decision.allowed
        self.refused += not decision.allowed
        self.last = decision


class SharedRetryBudget:
    """Allows repeats by service so that all routers together stay within the policy.

    Each router counts its own requests and takes an equal part of the slack, so that no message
    is needed but the number of routers. ``docs/design/retries.md`` shows why the sum holds.
    """

    def __init__(self, policy: RetryPolicy, clock: Clock) -> None:
        self.policy = policy
        self.fleet = FleetSize(clock)
        self._clock = clock
        self._windows: dict[str, _Window] = defaultdict(_Window)
        self._lock = threading.Lock()

    @property
    def router_count(self) -> int:
        """How many routers share the budget now; 0 where that is not known."""
        return self.fleet.most(self.policy.window_ms)

    def set_router_count(self, routers: int) -> None:
        """Take over how many routers may be alive, this one among them."""
        with self._lock:
            self.fleet.note(routers, self.policy.window_ms)

    def router_count_age_ms(self) -> float | None:
        """Return how long ago the number of routers was told, in ms; None if it never was."""
        return self.fleet.told_ms()

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        with self._lock:
            window = self._current(service)
            window.requests.append(self._clock.monotonic_ms())

    def acquire(self, service: str) -> RetryDecision:
        """Decide on one more repeat; one that is allowed counts at least until it is settled."""
        with self._lock:
            window = self._current(service)
            share = self._share(len(window.requests))
            allowed = window.repeats + 1 <= share
            decision = RetryDecision(
                allowed, window.repeats, share, len(window.requests), self.router_count
            )
            window.under_way += allowed
            window.note(decision)
            return decision

    def settle(self, service: str, *, allowed: int, arrived: int, arrived_ms: float) -> None:
        """Tell that a request has ended to which ``allowed`` repeats had been allowed.

        At most ``arrived`` of them have reached a replica, the last one at ``arrived_ms`` or
        before, in monotonic time.
        """
        with self._lock:
            window = self._current(service)
            window.under_way -= allowed
            # A repeat counts for a window after it arrived, not after it was allowed: one that
            # was held up would meet those of the next window at the replica.
            for _ in range(min(allowed, arrived)):
                bisect.insort(window.arrived, arrived_ms)

    def drain_tallies(self) -> list[RetryTally]:
        """Return the decisions by service since the last call, of services that had any."""
        with self._lock:
            found = []
            for service, window in self._windows.items():
                if window.last is not None:
                    found.append(RetryTally(service, window.allowed, window.refused, window.last))
                    window.allowed, window.refused, window.last = 0, 0, None
            return found

    def _share(self, requests: int) -> float:
        """Return how many repeats this router may have in its window.

        None before it has known the fleet for a window: until then an earlier run of it may have
        used its share, and others may go by a number without it.
        """
        known_ms = self.fleet.known_ms()
        if known_ms is None or known_ms < self.policy.window_ms + self.policy.start_ms:
            return 0.0
        slack = _SLACK_PART * self.policy.slack / self.router_count
        return _RATIO_PART * self.policy.ratio * requests + slack

    def _current(self, service: str) -> _Window:
        window = self._windows[service]
        window.forget(self._clock.monotonic_ms() - self.policy.window_ms)
        return window

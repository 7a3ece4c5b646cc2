"""Decides when an attempt without a response is abandoned for another replica."""

from collections.abc import Callable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.configuration import Route, RouteKind
from aspengate.replicas import Candidate

_CALL_FACTOR = 5.0
_CALL_MARGIN_MS = 100.0
_UNRESPONSIVE_FRACTION = 0.9
_UNRESPONSIVE_FACTOR = 3.0
_LATE_FRACTION = 1.9
_LATE_FACTOR = 6.0
_GAP_FACTOR = 2.0
_MIN_GAP_MS = 800.0


@dataclass(frozen=True)
class _Check:
    """A check of an attempt that has no response ``after_ms`` after its start.

    With ``only_if_unresponsive``, the attempt is abandoned only if the replica has sent nothing to
    any request of this gateway since then.
    """

    after_ms: float
    only_if_unresponsive: bool


class AttemptTimeouts:
    """The timeouts of one attempt; only attempts on retryable routes are ever abandoned.

    An attempt is abandoned only if ``may_retry`` grants a retry. That bounds the load on an
    overloaded service, and keeps a request waiting if no other replica can accept it.
    """

    def __init__(
        self,
        route: Route,
        candidate: Candidate,
        clock: Clock,
        may_retry: Callable[[], bool],
    ) -> None:
        self._candidate = candidate
        self._clock = clock
        self._may_retry = may_retry
        self._started_ms = clock.monotonic_ms()
        self._checks = _make_checks(route, candidate) if route.is_retryable else []
        self._grace_ms = self._checks[0].after_ms if self._checks else 0.0
        self._gap_ms = max(_MIN_GAP_MS, _GAP_FACTOR * route.max_gap_ms)
        self._limits_gaps = route.resumable

    @property
    def next_check_ms(self) -> float | None:
        """When to check an attempt without a response, in monotonic ms; None for no check."""
        return self._started_ms + self._checks[0].after_ms if self._checks else None

    def late_deadline_ms(self) -> float:
        """Return until when to wait, from now on, for an abandoned attempt, in monotonic ms."""
        return self._clock.monotonic_ms() + self._grace_ms

    def should_abandon(self) -> bool:
        """Return whether to abandon the attempt, a retry being acquired; call it at each check."""
        if not self._checks:
            return False
        check = self._checks.pop(0)
        if check.only_if_unresponsive and self._candidate.view.last_activity_ms >= self._started_ms:
            return False
        return self._may_retry()

    def gap_deadline_ms(self) -> float | None:
        """Return the time of the next check of a stream if no event arrives, in monotonic ms."""
        return self._clock.monotonic_ms() + self._gap_ms if self._limits_gaps else None

    def should_abandon_stream(self) -> bool:
        """Return whether to abandon a stream of an unresponsive replica, a retry being acquired."""
        idle_ms = self._clock.monotonic_ms() - self._candidate.view.last_activity_ms
        return idle_ms >= self._gap_ms * _UNRESPONSIVE_FRACTION and self._may_retry()


def _make_checks(route: Route, candidate: Candidate) -> list[_Check]:
    if route.kind is not RouteKind.STREAMING:
        # A request to another region takes one round trip, and a new connection another one.
        network_ms = 2 * candidate.network_ms
        after_ms = _CALL_FACTOR * candidate.first_ms + network_ms + _CALL_MARGIN_MS
        return [_Check(after_ms, only_if_unresponsive=False)]
    unresponsive_ms = max(
        _UNRESPONSIVE_FRACTION * route.objective_ms, _UNRESPONSIVE_FACTOR * candidate.first_ms
    )
    late_ms = max(_LATE_FRACTION * route.objective_ms, _LATE_FACTOR * candidate.first_ms)
    return [
        _Check(unresponsive_ms, only_if_unresponsive=True),
        _Check(late_ms, only_if_unresponsive=False),
    ]

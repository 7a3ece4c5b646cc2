"""When an attempt that says nothing is given up for another replica."""

from collections.abc import Callable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.configuration import Route, RouteKind
from aspengate.replicas import Candidate

_PLAIN_FACTOR = 5.0
_PLAIN_MARGIN_MS = 100.0
_SILENT_PART = 0.9
_SILENT_FACTOR = 3.0
_LATE_PART = 1.9
_LATE_FACTOR = 6.0
_GAP_FACTOR = 2.0
_LEAST_GAP_MS = 800.0


@dataclass(frozen=True)
class _Check:
    """A look at an attempt that has not answered ``after_ms`` into it.

    ``needs_silence`` means that it is given up only if the replica said nothing to anybody.
    """

    after_ms: float
    needs_silence: bool


class AttemptTimeouts:
    """Watches one attempt of a request that may be repeated; others are never given up.

    Giving up takes a repeat from ``may_repeat``, so that an overloaded service is not asked
    ever more. Silence alone never ends a request that could go nowhere else.
    """

    def __init__(
        self,
        route: Route,
        candidate: Candidate,
        clock: Clock,
        may_repeat: Callable[[], bool],
    ) -> None:
        self._candidate = candidate
        self._clock = clock
        self._may_repeat = may_repeat
        self._begun_ms = clock.monotonic_ms()
        self._checks = _checks_of(route, candidate) if route.repeatable else []
        self._gap_ms = max(_LEAST_GAP_MS, _GAP_FACTOR * route.longest_gap_ms)
        self._watches_gaps = route.resumable

    @property
    def next_look_ms(self) -> float | None:
        """When to look at an attempt that has not answered; None for not before its deadline."""
        return self._begun_ms + self._checks[0].after_ms if self._checks else None

    def is_over(self) -> bool:
        """Return whether the attempt is given up, with a repeat taken; call it at a look."""
        if not self._checks:
            return False
        check = self._checks.pop(0)
        if check.needs_silence and self._candidate.view.last_activity_ms >= self._begun_ms:
            return False
        return self._may_repeat()

    def gap_until_ms(self) -> float | None:
        """Return until when the next event of a stream is awaited before a look at it."""
        return self._clock.monotonic_ms() + self._gap_ms if self._watches_gaps else None

    def gap_is_over(self) -> bool:
        """Return whether a stream is given up, with a repeat taken, since its replica is silent."""
        quiet_ms = self._clock.monotonic_ms() - self._candidate.view.last_activity_ms
        return quiet_ms >= self._gap_ms * _SILENT_PART and self._may_repeat()


def _checks_of(route: Route, candidate: Candidate) -> list[_Check]:
    if route.kind is not RouteKind.STREAMING:
        return [_Check(_PLAIN_FACTOR * candidate.first_ms + _PLAIN_MARGIN_MS, needs_silence=False)]
    silent = max(_SILENT_PART * route.objective_ms, _SILENT_FACTOR * candidate.first_ms)
    late = max(_LATE_PART * route.objective_ms, _LATE_FACTOR * candidate.first_ms)
    return [_Check(silent, needs_silence=True), _Check(late, needs_silence=False)]

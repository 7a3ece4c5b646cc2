"""Applies the limits of rollouts to attempts, and records what the attempts show."""

import threading
from collections.abc import Callable, Sequence

from aspengate.clock import Clock
from aspengate.replicas import ReplicaView
from aspengate.rollouts import AttemptEvidence, Cohort, EvidenceRecorder, VersionGate
from aspengate.telemetry import Counters

# Stands for a route in calls of the gate that do not draw for an attempt.
_UNDRAWN_ROUTE = "(undrawn)"


class CohortAttempt:
    """One attempt at a replica of a rollout's cohort, from the moment at which it is sent.

    ``on_failed`` is called if it ends with a failure that counts.
    """

    def __init__(
        self, cohort: Cohort, evidence: AttemptEvidence, on_failed: Callable[[], None]
    ) -> None:
        self.cohort = cohort
        self._evidence = evidence
        self._on_failed = on_failed

    def first_response(self, ratio: float | None, now_ms: float) -> None:
        """See ``AttemptEvidence``."""
        self._evidence.first_response(ratio, now_ms)

    def end(
        self,
        failed: bool | None,
        total_ms: float | None,
        longest_pause_ms: float | None,
        *,
        cold: bool,
    ) -> None:
        """See ``AttemptEvidence``."""
        self._evidence.end(failed, total_ms, longest_pause_ms, cold=cold)
        if failed:
            self._on_failed()


class RolloutTraffic:
    """Selects the versions that attempts may be sent to, and records their outcomes.

    A service without a rollout costs one look-up for each call. ``on_target_failed`` is called
    after each failed attempt at a target.
    """

    def __init__(self, gate: VersionGate, clock: Clock, counters: Counters) -> None:
        self.gate = gate
        self._clock = clock
        self._counters = counters
        self.on_target_failed: Callable[[], None] = lambda: None
        self._recorders: dict[str, EvidenceRecorder] = {}
        self._lock = threading.Lock()

    def select(
        self,
        service: str,
        route: str,
        views: list[ReplicaView],
        open_views: Callable[[list[ReplicaView]], Sequence[ReplicaView]],
        *,
        is_continuation: bool = False,
    ) -> list[ReplicaView]:
        """Draw the versions of one attempt; return the views that may receive it.

        ``open_views`` returns those of some views that may receive one more request now. The views
        of a continuation are of one version.
        """
        return self.gate.select(
            service,
            route,
            views,
            self._clock.monotonic_ms(),
            lambda view: bool(open_views([view])),
            is_continuation=is_continuation,
        )

    def assured(self, service: str, views: list[ReplicaView]) -> list[ReplicaView]:
        """Return the views to which an attempt may be sent whatever is drawn for it.

        These are the views of the versions without a limited share; all that may receive attempts
        if the share of the target is 1.
        """
        now = self._clock.monotonic_ms()
        if self.gate.share(service, now) >= 1:
            return [view for view in views if self.gate.allows(view, now)]
        # If no view of a limited version is available, any draw selects the others.
        return self.gate.select(service, _UNDRAWN_ROUTE, views, now, lambda _: False)

    def allows(self, view: ReplicaView) -> bool:
        """Return whether an attempt may still be sent to a replica."""
        return self.gate.allows(view, self._clock.monotonic_ms())

    def begin(
        self, route: str, view: ReplicaView, sent_ms: float, *, cold: bool
    ) -> CohortAttempt | None:
        """Record that an attempt is sent; None if its replica is in no cohort of a rollout."""
        service = view.replica.service
        generation = self.gate.generation(service)
        recorder = self._recorders.get(service)
        if not generation or recorder is None or recorder.generation != generation:
            return None
        cohort = self.gate.cohort_of(service, view.replica.version)
        if cohort is None:
            return None
        self._counters.count(f"rollouts.attempts_{cohort.value}")
        evidence = recorder.begin(route, cohort, view.identity, sent_ms, cold=cold)
        is_target = cohort is Cohort.TARGET
        return CohortAttempt(cohort, evidence, self.on_target_failed if is_target else _ignore)

    def recorder(self, service: str, generation: int) -> EvidenceRecorder:
        """Return the recorder of a service, which begins without evidence for a new generation."""
        with self._lock:
            recorder = self._recorders.get(service)
            if recorder is None:
                recorder = self._recorders[service] = EvidenceRecorder(generation)
            elif recorder.generation < generation:
                recorder.reset(generation)
            return recorder


def _ignore() -> None:
    """Do nothing after a failure at the baseline."""

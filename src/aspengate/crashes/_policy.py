"""Limits on how often a request may crash a replica before it is refused."""

import enum
from dataclasses import dataclass


class Verdict(enum.Enum):
    """Whether and how a router may send a request now.

    ``SEND``: without restriction. ``TRY``: as a trial, a single send in the whole fleet, after
    the trial has been recorded. ``WAIT``: not now, because a trial is in progress or a short
    pause after one has not passed. ``REFUSE``: reject the request.
    """

    SEND = "send"
    TRY = "try"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class CrashPolicy:
    """Limits on requests that crash replicas; durations are in ms.

    After ``suspect_crashes`` crashed replicas a request runs only in trials. Up to 64 requests run
    on a replica that crashes, and an innocent one may run beside the cause again: of 117 innocent
    requests on a crashed replica, 44 were on two and 11 on three. Therefore two crashes alone do
    not cause a refusal.

    A trial that crashes its replica is followed by a pause of ``crash_pause_ms``; each further one
    multiplies the pause by ``crash_pause_factor``, and after ``max_crashed_trials`` of them there
    are no more trials. A trial is inconclusive if its caller disconnects, or if at least
    ``mass_crash_replicas`` other replicas terminate within ``mass_crash_window_ms`` of its own, as
    in the power failure of a rack. After an inconclusive trial the next one may start after
    ``short_pause_ms``, and once there have been ``quick_trials``, after ``long_pause_ms``. A trial
    whose router does not report an outcome expires after ``trial_timeout_ms``, which is longer
    than requests usually take. Once there have been ``quick_trials``, no pause is shorter than
    ``long_pause_ms``: that bounds the trials of a subject whose first ones were inconclusive.

    A prompt segment is suspect after ``suspect_segment_crashes``, unless a request with it was
    answered completely within ``answered_valid_ms``.
    """

    suspect_crashes: int = 2
    suspect_segment_crashes: int = 3
    answered_valid_ms: float = 30_000.0
    max_crashed_trials: int = 3
    crash_pause_ms: float = 60_000.0
    crash_pause_factor: float = 10.0
    mass_crash_replicas: int = 3
    mass_crash_window_ms: float = 100.0
    quick_trials: int = 3
    short_pause_ms: float = 1_000.0
    long_pause_ms: float = 600_000.0
    trial_timeout_ms: float = 20_000.0

    def pause_after(self, trials: int, crashed: int, *, has_ended: bool) -> float:
        """Return the pause after a trial, in ms, during which no router starts another one.

        ``trials`` counts all trials, ``crashed`` those that crashed their replica; ``has_ended``
        is whether the last one did.
        """
        least_ms = self.short_pause_ms if trials < self.quick_trials else self.long_pause_ms
        if not has_ended:
            return least_ms
        return max(least_ms, self.crash_pause_ms * self.crash_pause_factor ** max(0, crashed - 1))

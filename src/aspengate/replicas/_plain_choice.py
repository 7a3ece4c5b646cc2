"""Scores replicas for plain requests, so that none remains untried or is judged by old responses.

Without trials, a replica without observations was assumed to take 50 ms. Beside four replicas that
took 20 ms, a fifth one that took 5 ms got 0 of 1,348 requests in 8 s.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from aspengate.replicas._candidate import Candidate, failure_cost_ms, is_avoided
from aspengate.replicas._region_costs import DistanceCost
from aspengate.replicas._response_estimate import INITIAL_RESPONSE_MS
from aspengate.replicas._trial_budget import TrialBudget
from aspengate.replicas._view import ReplicaView

# Cost of a certain failure, which is about the timeout of a plain call.
_FAILURE_COST_MS = 500.0
# Estimates within this fraction of the lowest one count as equal to it: the average of about five
# samples differs by that much between replicas that are equally fast.
_EQUAL_FRACTION = 0.1
# A replica that is farther away than others in use is tried if it would pay with a response time of
# this fraction of the lowest estimate.
_OPTIMISTIC_FRACTION = 0.5
# Cost of a second request at a replica that has not been observed. It exceeds the costs of load and
# of failures, but not that of a replica that is avoided.
_HELD_BACK_COST_MS = 5_000.0
# Opening a connection counts against a replica until its last sample is this old. A replica that is
# not used has no idle connection either, and would otherwise never be used again.
_OPENING_COST_KEPT_MS = 30_000.0
# A trial without a response after this time does not delay the trials of other replicas.
_TRIAL_PENDING_MS = 1_000.0
# A chosen replica counts as tried for this long before its request is in flight: of requests that
# arrive together, only one may be the trial.
_CHOSEN_MS = 50.0


@dataclass(frozen=True)
class _Reference:
    """What the replicas of a service are compared with at one choice, at ``now_ms``.

    ``lowest_ms`` is the lowest estimate and ``nearest_ms`` the lowest distance cost of the observed
    replicas that are not avoided. ``is_known`` is False if no replica has been observed, and
    ``holds_back`` whether no further trial of an unobserved replica may begin.
    """

    now_ms: float
    avoided: frozenset[str]
    lowest_ms: float
    nearest_ms: float
    is_known: bool
    holds_back: bool


def _reference(
    views: Sequence[ReplicaView],
    distance: Callable[[ReplicaView, float], DistanceCost],
    now_ms: float,
) -> _Reference:
    avoided = frozenset(view.incarnation for view in views if is_avoided(view, now_ms))
    observed = [view for view in views if view.response.is_known]
    usable = [view for view in observed if view.incarnation not in avoided]
    compared = usable or observed
    pending = sum(
        _is_tried(view, now_ms) and now_ms - view.chosen_ms <= _TRIAL_PENDING_MS
        for view in views
        if not view.response.is_known
    )
    return _Reference(
        now_ms,
        avoided,
        min((view.response.mean_ms for view in compared), default=INITIAL_RESPONSE_MS),
        min((distance(view, now_ms).total_ms for view in usable), default=float("inf")),
        is_known=bool(observed),
        holds_back=bool(usable) and pending > sum(view.in_flight for view in usable),
    )


class PlainChooser:
    """Scores replicas for plain requests by response time, load, distance and failures.

    An estimate approaches the lowest one while its replica is not used; that of an unobserved
    replica equals the lowest one. Therefore equal replicas share the load, and each replica of the
    nearest distance is tried. ``distance`` returns the cost of the distance to a replica, and
    ``opening_ms`` that of opening a connection, 0 if an idle one can be used.
    """

    def __init__(
        self,
        distance: Callable[[ReplicaView, float], DistanceCost],
        opening_ms: Callable[[ReplicaView], float],
    ) -> None:
        self.distance = distance
        self.opening_ms = opening_ms
        self.trials = TrialBudget()
        self._lock = threading.Lock()

    def choose(self, views: Sequence[ReplicaView], tie: float, now_ms: float) -> Candidate:
        """Return the cheapest of ``views``; ``tie`` in [0, 1) selects one of equally cheap ones."""
        with self._lock:
            return self._choose(views, tie, now_ms)

    def _choose(self, views: Sequence[ReplicaView], tie: float, now_ms: float) -> Candidate:
        reference = _reference(views, self.distance, now_ms)
        service = views[0].replica.service
        may_try = self.trials.allows_trial(service, reference.lowest_ms)
        candidates = [self._candidate(view, reference, may_try=may_try) for view in views]
        lowest_ms = min(candidate.cost_ms for candidate in candidates)
        equal = [candidate for candidate in candidates if candidate.cost_ms == lowest_ms]
        chosen = equal[int(tie * len(equal))]
        chosen.view.chosen_ms = now_ms
        if chosen.trial_ms:
            self.trials.record_trial(service, chosen.trial_ms)
        return chosen

    def candidates(self, views: Sequence[ReplicaView], now_ms: float) -> list[Candidate]:
        """Return candidates for all ``views`` without trials that cost time."""
        reference = _reference(views, self.distance, now_ms)
        return [self._candidate(view, reference, may_try=False) for view in views]

    def _candidate(self, view: ReplicaView, reference: _Reference, *, may_try: bool) -> Candidate:
        now_ms = reference.now_ms
        response_ms, trial_ms = self._assumed_response(view, reference, may_try=may_try)
        load_factor = 1 + view.in_flight / max(1, view.replica.slots)
        distance = self.distance(view, now_ms)
        cost_ms = response_ms * load_factor + distance.total_ms
        if now_ms - view.response.sampled_ms <= _OPENING_COST_KEPT_MS:
            cost_ms += self.opening_ms(view)
        if _is_held_back(view, reference):
            cost_ms += _HELD_BACK_COST_MS
        avoided = view.incarnation in reference.avoided
        cost_ms += failure_cost_ms(view, now_ms, _FAILURE_COST_MS, avoided=avoided)
        # Timeouts follow from the expected time: that of a trial must not be shorter than usual, or
        # a slow replica would be abandoned before it is observed.
        expected_ms = max(INITIAL_RESPONSE_MS, reference.lowest_ms)
        if view.response.is_known:
            expected_ms = view.response.mean_ms
        return Candidate(
            view,
            cost_ms,
            expected_ms * load_factor,
            trial_ms=trial_ms,
            network_ms=distance.round_trip_ms,
        )

    def _assumed_response(
        self, view: ReplicaView, reference: _Reference, *, may_try: bool
    ) -> tuple[float, float]:
        """Return the response time, in ms, to compare a replica by, and the cost of its trial."""
        lowest_ms = reference.lowest_ms
        may_try = may_try and not view.in_flight
        if not view.response.is_known:
            distance_ms = self.distance(view, reference.now_ms).total_ms
            is_farther = distance_ms > reference.nearest_ms
            if may_try and is_farther:
                return _OPTIMISTIC_FRACTION * lowest_ms, lowest_ms
            return lowest_ms, 0.0
        mean_ms = view.response.mean_ms
        if not may_try or mean_ms <= (1 + _EQUAL_FRACTION) * lowest_ms:
            return _equalised(mean_ms, lowest_ms), 0.0
        aged_ms = view.response.aged_ms(lowest_ms, reference.now_ms)
        return _equalised(aged_ms, lowest_ms), mean_ms - aged_ms


def _equalised(response_ms: float, lowest_ms: float) -> float:
    """Return an estimate without the part by which it counts as equal to the lowest one."""
    if response_ms <= lowest_ms:
        return response_ms
    return max(lowest_ms, response_ms - _EQUAL_FRACTION * lowest_ms)


def _is_held_back(view: ReplicaView, reference: _Reference) -> bool:
    """Return whether an unobserved replica gets no further request if another one can take it.

    A replica that is dead or silent thus delays one request at a time. Services whose response
    times are not observed, such as model engines, have no such limit once a replica has responded.
    """
    if view.response.is_known:
        return False
    limits_trials = reference.is_known or not view.has_responded
    return reference.holds_back or (limits_trials and _is_tried(view, reference.now_ms))


def _is_tried(view: ReplicaView, now_ms: float) -> bool:
    """Return whether a request is in flight at a replica or about to be sent there."""
    return view.in_flight > 0 or now_ms - view.chosen_ms < _CHOSEN_MS

"""Decides the next document of a service's rollout."""

import dataclasses
from dataclasses import dataclass

import msgspec

from aspengate.rollouts._document import RolloutDocument, RolloutState
from aspengate.rollouts._evidence import Evidence
from aspengate.rollouts._order import RolloutOrder
from aspengate.rollouts._policy import RolloutPolicy
from aspengate.rollouts._schedule import RAMP_SHARES, RolloutSchedule, Usage
from aspengate.rollouts._verdict import Verdict, judge
from aspengate.store import era_of

# The interval of steps, and that in the last seconds, where stages of the ramp may last 500 ms.
_STEP_MS = 500.0
_LAST_STEP_MS = 100.0
_LAST_SECONDS_MS = 5_000.0
# Routers that halt by their own evidence: a single one may have a fault of its own.
_MAX_HALTED = 1
# A share is raised only after responses under the one before. A document reaches the routers
# within some 100 ms, and their reports follow within 500 ms.
_MIN_STAGE_MS = 500.0
# Reports come only while there are requests: with few of them, the newest is often older than 2 s.
_MAX_EVIDENCE_AGE_MS = 2_000.0
_MAX_UNREPORTED = 5.0
# Changes of the canary share are written if they are large enough, and not at every step.
_MIN_CANARY_CHANGE = 0.25
_CANARY_INTERVAL_MS = 2_000.0
# A rate is estimated from so many attempts, or over so long a time.
_MIN_RATE_ATTEMPTS = 20
_MIN_RATE_MS = 2_000.0
_RECENT_MS = 5_000.0
# With fewer target responses, a service that has requests is not moved.
MIN_TARGET_RESPONSES = 4
# The last moment to complete: later, a slow store might answer only after the deadline.
_COMPLETION_MARGIN_MS = 500.0
# At share 1, the old replicas may stop so long after the document was written: until then, routers
# that have not received it send to them. A fault under full load shows within 3 s.
_MIN_LAST_STAGE_MS = 300.0
_EARLY_COMPLETION_MS = 3_000.0
_CAPACITY_MARGIN = 1.25
# Cold replicas limit their own requests, and only the canary's may warm them.
_MAX_COLD_SHARE = RAMP_SHARES[0] / 2
# After the store was restored from a copy, routers that know a newer document write it again first.
_RESTORE_PAUSE_MS = 2_000.0
_MAX_RETIRED_VERSIONS = 16


@dataclass(frozen=True)
class FleetEvidence:
    """The joint evidence of all routers on one attempt.

    If ``total`` is of another generation than the document, all of it is ignored. ``recent`` is the
    part of the last 5 s, None if unknown. ``verdict`` is the joint verdict; if it is None,
    ``judge`` is called with the other two. ``age_ms`` is the time since the newest report was
    received. ``halted`` are the sessions that stopped by themselves in this generation.

    ``is_complete`` is whether this router has heard from most living routers since it became the
    decider. Without that, few attempts in ``total`` do not prove that there were few, and no share
    is raised. ``has_grown`` is whether the target has responded since the evidence was first
    complete under the present share.
    """

    total: Evidence
    recent: Evidence | None = None
    verdict: Verdict | None = None
    age_ms: float = 0.0
    halted: frozenset[str] = frozenset()
    is_complete: bool = True
    has_grown: bool = False


@dataclass(frozen=True)
class CohortSlots:
    """The capacity of one cohort.

    ``listed`` and ``ready`` count replicas, the latter those that accept requests, and ``warm``
    the ready ones that are not cold. ``warm_slots`` is the sum of their slots; 0 means unknown.
    """

    listed: int = 0
    ready: int = 0
    warm: int = 0
    warm_slots: int = 0


@dataclass(frozen=True)
class CohortCapacity:
    """The capacity of both cohorts, and the versions of all listed replicas of the service."""

    target: CohortSlots
    baseline: CohortSlots
    versions: frozenset[str]


@dataclass(frozen=True)
class DecisionTime:
    """The times that a decision depends on; all but ``unix_ms`` are monotonic.

    ``order_seen_ms`` is when this router first saw the order of the current attempt, None if it
    started later. ``document_seen_ms`` is when it first saw the current ``step`` of the current
    attempt, and ``restored_ms`` when it last found that the store was restored from a copy, None if
    it never was.
    """

    now_ms: float
    unix_ms: int
    order_seen_ms: float | None
    document_seen_ms: float
    restored_ms: float | None = None


@dataclass(frozen=True)
class _Totals:
    """The counts of the evidence that decisions depend on."""

    target_attempts: int = 0
    target_responses: int = 0
    baseline_attempts: int = 0
    target_in_flight: int = 0
    baseline_in_flight: int = 0

    @property
    def attempts(self) -> int:
        return self.target_attempts + self.baseline_attempts

    @property
    def in_flight(self) -> int:
        return self.target_in_flight + self.baseline_in_flight


def _count(evidence: Evidence | None) -> _Totals:
    routes = evidence.routes.values() if evidence else ()
    return _Totals(
        sum(each.target.sent for each in routes),
        sum(each.target.answered for each in routes),
        sum(each.baseline.sent for each in routes),
        sum(each.target.in_flight for each in routes),
        sum(each.baseline.in_flight for each in routes),
    )


class RolloutDecider:
    """Decides the next step of a rollout from what the deciding router knows; holds no state."""

    def __init__(self, policy: RolloutPolicy) -> None:
        self.policy = policy
        self.schedule = RolloutSchedule(policy)

    def decide(
        self,
        service: str,
        order: RolloutOrder | None,
        orders_revision: int,
        document: RolloutDocument | None,
        evidence: FleetEvidence | None,
        capacity: CohortCapacity,
        time: DecisionTime,
        session: str,
    ) -> RolloutDocument | None:
        """Return the next document to write, None for no change.

        ``order`` is None if the store has none; ``orders_revision`` is the store revision up to
        which orders have been read, so that an order that was not yet read isn't taken for a
        withdrawn one. The write's condition is that ``document`` is still the stored one.
        ``session`` is this router's.
        """
        if time.restored_ms is not None and time.now_ms < time.restored_ms + _RESTORE_PAUSE_MS:
            return None
        if document is None:
            return _begin_attempt(order, None, capacity, time, session) if order else None
        if order is None:
            return self._decide_without_order(document, orders_revision, time, session)
        if order.revision < document.order_revision:
            return None
        if document.has_ended:
            return _respond_after_end(order, document, capacity, time, session)
        if order.target_version != document.target_version:
            return _begin_attempt(order, document, capacity, time, session)
        stated = msgspec.structs.replace(
            document, order_revision=order.revision, duration_ms=order.duration_ms
        )
        if evidence is not None and evidence.total.generation != document.generation:
            evidence = None
        next_document = self._decide_running(stated, evidence, capacity, time, session)
        if next_document is None and stated == document and document.decider == session:
            return None
        # The write that takes over also makes one fail that an earlier decider began before.
        return _written(next_document or stated, document, session)

    def pause_ms(self, document: RolloutDocument | None, time: DecisionTime) -> float:
        """Return the time after which to decide again, shorter in the last seconds."""
        if document is None or document.has_ended:
            return _STEP_MS
        remaining_ms = self.deadline_ms(document, time) - time.now_ms
        return _LAST_STEP_MS if remaining_ms <= _LAST_SECONDS_MS else _STEP_MS

    def deadline_ms(self, document: RolloutDocument, time: DecisionTime) -> float:
        """Return the deadline of the document's attempt, in this router's monotonic time."""
        by_document = time.now_ms + document.began_unix_ms + document.duration_ms - time.unix_ms
        if time.order_seen_ms is None:
            return by_document
        return min(by_document, time.order_seen_ms + document.duration_ms)

    def _decide_without_order(
        self, document: RolloutDocument, orders_revision: int, time: DecisionTime, session: str
    ) -> RolloutDocument | None:
        """Return the document after its order was withdrawn.

        A store that was restored from a copy may have lost the order; it may be put again. Then
        the attempt only ends at its deadline.
        """
        if document.has_ended or orders_revision < document.order_revision:
            return None
        if era_of(orders_revision) == era_of(document.order_revision):
            ended = _end(document, RolloutState.ROLLED_BACK, "order withdrawn")
        elif time.now_ms >= self.deadline_ms(document, time):
            ended = _end(document, RolloutState.ROLLED_BACK, "deadline passed without the order")
        else:
            return None
        return _written(ended, document, session)

    def _decide_running(
        self,
        document: RolloutDocument,
        evidence: FleetEvidence | None,
        capacity: CohortCapacity,
        time: DecisionTime,
        session: str,
    ) -> RolloutDocument | None:
        """Return the changed document of a running attempt, None for no change."""
        if reason := _find_fault(evidence):
            return _end(document, RolloutState.ROLLED_BACK, reason)
        remaining_ms = self.deadline_ms(document, time) - time.now_ms
        if remaining_ms <= 0:
            return _end(document, RolloutState.ROLLED_BACK, _describe_deadline(document, evidence))
        totals = _with_document(_count(evidence.total if evidence else None), document)
        if reason := _find_completion(document, totals, evidence, capacity, time, remaining_ms):
            return _end(document, RolloutState.COMPLETED, reason)
        usage = _usage(totals, evidence, document, remaining_ms)
        if usage is None:
            return self._begin_canary(document, capacity)
        return self._change_share(document, usage, totals, evidence, capacity, time, session)

    def _begin_canary(
        self, document: RolloutDocument, capacity: CohortCapacity
    ) -> RolloutDocument | None:
        """Return the document with the initial share once the target has replicas."""
        if document.share > 0 or not capacity.target.ready:
            return None
        share = self.schedule.initial_share
        return _with_share(document, share, _Totals(), "target has replicas", canary=True)

    def _change_share(
        self,
        document: RolloutDocument,
        usage: Usage,
        totals: _Totals,
        evidence: FleetEvidence | None,
        capacity: CohortCapacity,
        time: DecisionTime,
        session: str,
    ) -> RolloutDocument | None:
        """Return the document with the next share, None if it stays."""
        if evidence is None or not evidence.is_complete or document.decider != session:
            return None
        stage_ms = time.now_ms - time.document_seen_ms
        limit = _capacity_share(totals, capacity.target)
        is_suspect = _verdict(evidence).is_suspect
        wanted = self.schedule.ramp_share(document.share, usage)
        if wanted > document.share:
            if (
                wanted > limit
                or is_suspect
                or not _may_raise(document, totals, evidence, usage, stage_ms)
            ):
                return None
            return _with_share(document, wanted, totals, "ramp")
        is_canary = document.share == document.canary_share
        if not is_canary or not capacity.target.ready:
            return None
        canary = min(self.schedule.canary_share(usage), limit)
        # A change shortly before the ramp would delay it until there is evidence under that share.
        is_steady = stage_ms < _CANARY_INTERVAL_MS or usage.remaining_ms <= _LAST_SECONDS_MS
        is_due = document.share == 0 or not is_steady
        if not is_due or abs(canary - document.share) <= _MIN_CANARY_CHANGE * document.share:
            return None
        is_unproven = is_suspect or not _is_fresh(evidence, usage.per_ms)
        if canary > document.share > 0 and is_unproven:
            return None
        return _with_share(document, canary, totals, "canary", canary=True)


def _begin_attempt(
    order: RolloutOrder,
    previous: RolloutDocument | None,
    capacity: CohortCapacity,
    time: DecisionTime,
    session: str,
) -> RolloutDocument:
    """Return the first document of an attempt."""
    target, versions = order.target_version, capacity.versions
    retired = _retired_versions(previous, target)
    base = versions - {target} - set(retired)
    seen_ms = time.order_seen_ms
    since_order_ms = 0.0 if seen_ms is None else max(0.0, time.now_ms - seen_ms)
    began = RolloutDocument(
        service=order.service,
        generation=previous.generation + 1 if previous else 1,
        order_revision=order.revision,
        target_version=target,
        duration_ms=order.duration_ms,
        base_versions=tuple(sorted(base)),
        retired_versions=retired,
        number=previous.number + 1 if previous else 1,
        decider=session,
        began_unix_ms=int(time.unix_ms - since_order_ms),
        reason="ordered",
    )
    if versions == {target}:
        return _end(began, RolloutState.COMPLETED, "version is in force")
    return began


def _retired_versions(previous: RolloutDocument | None, target: str) -> tuple[str, ...]:
    """Return the versions that earlier attempts took out of use, the newest last."""
    if previous is None:
        return ()
    if previous.state is RolloutState.COMPLETED:
        added = previous.base_versions
    else:
        added = (previous.target_version,)
    versions = dict.fromkeys((*previous.retired_versions, *added))
    return tuple(each for each in versions if each != target)[-_MAX_RETIRED_VERSIONS:]


def _respond_after_end(
    order: RolloutOrder,
    document: RolloutDocument,
    capacity: CohortCapacity,
    time: DecisionTime,
    session: str,
) -> RolloutDocument | None:
    """Return the response to an order when the last attempt has ended."""
    if order.revision == document.order_revision:
        return None
    is_same = (order.target_version, order.duration_ms) == (
        document.target_version,
        document.duration_ms,
    )
    if is_same and era_of(order.revision) > era_of(document.order_revision):
        restated = msgspec.structs.replace(document, order_revision=order.revision)
        return _written(restated, document, session)
    began = _begin_attempt(order, document, capacity, time, session)
    is_completed = document.state is RolloutState.COMPLETED
    if is_completed and order.target_version == document.target_version:
        return _end(began, RolloutState.COMPLETED, "version is in force")
    return began


def _written(document: RolloutDocument, previous: RolloutDocument, session: str) -> RolloutDocument:
    return msgspec.structs.replace(document, number=previous.number + 1, decider=session)


def _end(document: RolloutDocument, state: RolloutState, reason: str) -> RolloutDocument:
    share = 1.0 if state is RolloutState.COMPLETED else 0.0
    return msgspec.structs.replace(document, state=state, share=share, reason=reason)


def _with_share(
    document: RolloutDocument,
    share: float,
    totals: _Totals,
    reason: str,
    *,
    canary: bool = False,
) -> RolloutDocument:
    return msgspec.structs.replace(
        document,
        share=share,
        canary_share=share if canary else document.canary_share,
        step=document.step + 1,
        reason=reason,
        target_attempts=totals.target_attempts,
        target_responses=totals.target_responses,
        baseline_attempts=totals.baseline_attempts,
    )


def _find_fault(evidence: FleetEvidence | None) -> str:
    """Return why the target is bad, "" if it is not known to be."""
    if evidence is None:
        return ""
    if len(evidence.halted) > _MAX_HALTED:
        return f"{len(evidence.halted)} routers halted by their own evidence"
    verdict = _verdict(evidence)
    return (verdict.reason or "bad verdict") if verdict.is_bad else ""


def _verdict(evidence: FleetEvidence) -> Verdict:
    return evidence.verdict or judge(evidence.total, evidence.recent)


def _describe_deadline(document: RolloutDocument, evidence: FleetEvidence | None) -> str:
    totals = _count(evidence.total if evidence else None)
    verdict = _verdict(evidence) if evidence else None
    suspicion = f"; {verdict.reason}" if verdict and verdict.is_suspect else ""
    return (
        f"deadline passed at share {document.share:g} with {totals.target_responses} responses "
        f"of the target and {totals.in_flight} requests in flight{suspicion}"
    )


def _with_document(totals: _Totals, document: RolloutDocument) -> _Totals:
    """Return the totals, at least those at the last step.

    A decider that took over has no reports of routers that have died.
    """
    return dataclasses.replace(
        totals,
        target_attempts=max(totals.target_attempts, document.target_attempts),
        target_responses=max(totals.target_responses, document.target_responses),
        baseline_attempts=max(totals.baseline_attempts, document.baseline_attempts),
    )


def _find_completion(
    document: RolloutDocument,
    totals: _Totals,
    evidence: FleetEvidence | None,
    capacity: CohortCapacity,
    time: DecisionTime,
    remaining_ms: float,
) -> str:
    """Return why the attempt is completed now, "" if it is not."""
    is_last_moment = remaining_ms <= _COMPLETION_MARGIN_MS
    if totals.attempts == 0 and totals.in_flight == 0:
        is_ready = capacity.target.ready > 0 and evidence is not None and evidence.is_complete
        return "no requests" if is_last_moment and is_ready else ""
    if document.share < 1 or (evidence is not None and _verdict(evidence).is_suspect):
        return ""
    stage_ms = time.now_ms - time.document_seen_ms
    if is_last_moment and stage_ms >= _MIN_LAST_STAGE_MS:
        return f"{totals.baseline_in_flight} requests in flight on the baseline"
    is_idle = totals.baseline_in_flight == 0 and _is_fresh(evidence, per_ms=0.0)
    has_responses = totals.target_responses > document.target_responses
    if stage_ms >= _EARLY_COMPLETION_MS and is_idle and has_responses:
        return "no requests in flight on the baseline"
    return ""


def _usage(
    totals: _Totals,
    evidence: FleetEvidence | None,
    document: RolloutDocument,
    remaining_ms: float,
) -> Usage | None:
    """Return the use of the budget, None as long as the rate is unknown."""
    age_ms = evidence.age_ms if evidence else 0.0
    elapsed_ms = max(1.0, document.duration_ms - remaining_ms - age_ms)
    if totals.attempts < _MIN_RATE_ATTEMPTS and elapsed_ms < _MIN_RATE_MS:
        return None
    recent = _count(evidence.recent if evidence else None)
    per_ms = max(totals.attempts / elapsed_ms, recent.attempts / _RECENT_MS)
    return Usage(
        totals.attempts, totals.target_attempts, per_ms, document.duration_ms, remaining_ms
    )


def _is_fresh(evidence: FleetEvidence | None, per_ms: float) -> bool:
    """Return whether the newest report is no older than usual at a rate of attempts."""
    if evidence is None:
        return False
    max_age_ms = max(_MAX_EVIDENCE_AGE_MS, _MAX_UNREPORTED / per_ms if per_ms else 0.0)
    return evidence.age_ms <= max_age_ms


def _may_raise(
    document: RolloutDocument,
    totals: _Totals,
    evidence: FleetEvidence | None,
    usage: Usage,
    stage_ms: float,
) -> bool:
    """Return whether there is evidence under the present share, or the service has no requests."""
    if stage_ms < _MIN_STAGE_MS:
        return False
    if usage.attempts == 0:
        return True
    # Changes of the canary share are small: for the first stage, all responses before it count.
    is_canary = document.share == document.canary_share
    # After a takeover, the totals lack the responses to routers that have died.
    has_grown = evidence is not None and evidence.has_grown
    has_responses = is_canary or has_grown or totals.target_responses > document.target_responses
    return (
        _is_fresh(evidence, usage.per_ms)
        and has_responses
        and totals.target_responses >= MIN_TARGET_RESPONSES
    )


def _capacity_share(totals: _Totals, target: CohortSlots) -> float:
    """Return the share of the requests in flight that the target's replicas can process."""
    if not target.warm:
        return _MAX_COLD_SHARE if target.ready else 0.0
    if not target.warm_slots or not totals.in_flight:
        return 1.0
    return target.warm_slots / (_CAPACITY_MARGIN * totals.in_flight)

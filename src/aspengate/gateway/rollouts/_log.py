"""Log lines on the documents of rollouts."""

import math

from aspengate.rollouts import CohortEvidence, FleetEvidence, RolloutDocument, Verdict
from aspengate.telemetry import log_change

_MAX_LOGGED_REPLICAS = 8


def log_document(
    document: RolloutDocument,
    before: RolloutDocument | None,
    evidence: FleetEvidence | None = None,
) -> None:
    """Log a document's change of share or state; ``evidence`` is what the decider based it on."""
    is_new = before is None or before.generation != document.generation
    if document.has_ended:
        if is_new or before is None or not before.has_ended:
            _log("rollout.ended", document, evidence, state=document.state.value)
    elif is_new or before is None or before.step != document.step:
        _log("rollout.step", document, evidence)


def log_verdict(document: RolloutDocument, verdict: Verdict) -> None:
    """Log that the joint evidence of all routers shows the target to be bad."""
    log_change(
        "rollout.verdict",
        service=document.service,
        generation=document.generation,
        target=document.target_version,
        why=verdict.reason,
        route=verdict.route,
    )


def _log(
    message: str,
    document: RolloutDocument,
    evidence: FleetEvidence | None,
    **fields: object,
) -> None:
    log_change(
        message,
        service=document.service,
        generation=document.generation,
        target=document.target_version,
        base=list(document.base_versions),
        share=round(document.share, 4),
        step=document.step,
        number=document.number,
        decider=document.decider,
        why=document.reason,
        **fields,
        **(_evidence_fields(evidence) if evidence else {}),
    )


def _failures(target: CohortEvidence) -> dict[str, int]:
    """Return the failures of the target's replicas that have most of them."""
    failed = {name: each.failed for name, each in target.replicas.items() if each.failed}
    worst = sorted(failed, key=lambda name: failed[name], reverse=True)[:_MAX_LOGGED_REPLICAS]
    return {name: failed[name] for name in worst}


def _evidence_fields(evidence: FleetEvidence) -> dict[str, object]:
    target, baseline = evidence.total.target, evidence.total.baseline
    return {
        "evidence_age_ms": round(evidence.age_ms) if math.isfinite(evidence.age_ms) else None,
        "target_sent": target.sent,
        "target_answered": target.answered,
        "target_failed": target.failed,
        "target_waiting": sum(each.waiting_ms.total for each in target.replicas.values()),
        "failed_by_replica": _failures(target),
        "baseline_sent": baseline.sent,
        "baseline_answered": baseline.answered,
        "baseline_failed": baseline.failed,
        "in_flight": evidence.total.in_flight,
        "halted": sorted(evidence.halted),
        "complete": evidence.is_complete,
    }

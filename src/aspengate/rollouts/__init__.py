"""Moves a service's traffic to another version and back, limiting what a bad version receives.

This package makes decisions only: it has no I/O and no threads, and callers pass the time.
"""

from aspengate.rollouts._cohort import Cohort
from aspengate.rollouts._collector import EvidenceCollector
from aspengate.rollouts._decider import (
    CohortCapacity,
    CohortSlots,
    DecisionTime,
    FleetEvidence,
    RolloutDecider,
)
from aspengate.rollouts._document import (
    DOCUMENT_PREFIX,
    RolloutDocument,
    RolloutState,
    decode_document,
    encode_document,
    is_newer,
)
from aspengate.rollouts._evidence import (
    CohortEvidence,
    Evidence,
    ReplicaEvidence,
    RouteEvidence,
    merge_evidence,
)
from aspengate.rollouts._gate import VersionGate
from aspengate.rollouts._histogram import Histogram
from aspengate.rollouts._order import RolloutOrder
from aspengate.rollouts._policy import RolloutPolicy
from aspengate.rollouts._recorder import AttemptEvidence, EvidenceRecorder
from aspengate.rollouts._verdict import Verdict, judge
from aspengate.rollouts._windows import EvidenceWindows

__all__ = [
    "DOCUMENT_PREFIX",
    "AttemptEvidence",
    "Cohort",
    "CohortCapacity",
    "CohortEvidence",
    "CohortSlots",
    "DecisionTime",
    "Evidence",
    "EvidenceCollector",
    "EvidenceRecorder",
    "EvidenceWindows",
    "FleetEvidence",
    "Histogram",
    "ReplicaEvidence",
    "RolloutDecider",
    "RolloutDocument",
    "RolloutOrder",
    "RolloutPolicy",
    "RolloutState",
    "RouteEvidence",
    "Verdict",
    "VersionGate",
    "decode_document",
    "encode_document",
    "is_newer",
    "judge",
    "merge_evidence",
]

"""Listed replicas, what is known of each one, and the choice of one for a request."""

from aspengate.replicas._availability import Availability
from aspengate.replicas._candidate import Candidate
from aspengate.replicas._choice import (
    CHOICE_POLICY,
    ChoicePolicy,
    PromptShape,
    ReplicaChooser,
)
from aspengate.replicas._evacuation import Evacuation
from aspengate.replicas._first_token import FirstTokenModel
from aspengate.replicas._pauses import PauseModel
from aspengate.replicas._region_costs import RegionCosts
from aspengate.replicas._registry import ReplicaRegistry
from aspengate.replicas._replica import Replica, ReplicaState
from aspengate.replicas._reported_limit import ReportedLimit
from aspengate.replicas._reported_state import ReplicaNotice, ReportedState
from aspengate.replicas._segments import SegmentTracker
from aspengate.replicas._view import InFlightRequest, ReplicaView

__all__ = [
    "CHOICE_POLICY",
    "Availability",
    "Candidate",
    "ChoicePolicy",
    "Evacuation",
    "FirstTokenModel",
    "InFlightRequest",
    "PauseModel",
    "PromptShape",
    "RegionCosts",
    "Replica",
    "ReplicaChooser",
    "ReplicaNotice",
    "ReplicaRegistry",
    "ReplicaState",
    "ReplicaView",
    "ReportedLimit",
    "ReportedState",
    "SegmentTracker",
]
